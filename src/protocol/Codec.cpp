#include "protocol/Codec.h"

#include "protocol/MessageJson.h"

#include <msgpuck.h>

#include <array>
#include <cassert>
#include <vector>

namespace hemlocklead {

namespace {

    constexpr std::array<std::string_view, std::variant_size_v<Message>> messageNames { "hello", "keepalive",
        "keepalive-reply", "leaving", "reserve", "reserve-reply", "start", "start-reply", "renew", "stop",
        "attempt-ended", "attempt-ended-ack", "checkpointed", "call", "call-reply", "call-cancel", "peer-ping",
        "peer-pong", "state-request", "state-reply", "forward", "forward-reply", "host-report", "host-orders",
        "packed-host-report" };

    using Decoder = Message (*)(const Json&);

    template <typename T> Message decodeAs(const Json& json) { return json.get<T>(); }

    template <typename... T> constexpr std::array<Decoder, sizeof...(T)> makeDecoders(const std::variant<T...>*)
    {
        return { &decodeAs<T>... };
    }

    constexpr auto decoders = makeDecoders(static_cast<const Message*>(nullptr));

    /// Removes fields that equal their default value, which the decoder restores. Most fields of most messages have
    /// their default. Recurses into nested objects whose defaults do not depend on the enclosing object.
    void removeDefaults(Json& json, const Json& defaults)
    {
        for (auto field = json.begin(); field != json.end();) {
            const auto defaultValue = defaults.find(field.key());
            if (defaultValue != defaults.end() && *defaultValue == *field) {
                field = json.erase(field);
                continue;
            }
            if (defaultValue != defaults.end() && field->is_object() && defaultValue->is_object())
                removeDefaults(*field, *defaultValue);
            ++field;
        }
    }

    template <typename T> Json compactJson(const T& message)
    {
        static const Json defaults(T {});
        Json json(message);
        removeDefaults(json, defaults);
        return json;
    }

    /// Returns whether MessagePack that has passed `mp_check` nests at most `maxNesting` levels deep. nlohmann::json
    /// decodes recursively, so deeper input could exhaust the stack.
    bool nestingIsBounded(const char* data, const char* end)
    {
        std::vector<uint64_t> remaining;
        while (data < end) {
            uint64_t children = 0;
            switch (mp_typeof(*data)) {
            case MP_ARRAY:
                children = mp_decode_array(&data);
                break;
            case MP_MAP:
                children = 2 * static_cast<uint64_t>(mp_decode_map(&data));
                break;
            default:
                mp_next(&data);
            }
            if (!remaining.empty())
                --remaining.back();
            if (children > 0)
                remaining.push_back(children);
            if (remaining.size() > maxNesting)
                return false;
            while (!remaining.empty() && remaining.back() == 0)
                remaining.pop_back();
        }
        return true;
    }

    bool isSingleBoundedMap(std::string_view payload)
    {
        if (payload.empty() || mp_typeof(payload.front()) != MP_MAP)
            return false;
        const char* position = payload.data();
        const char* end = payload.data() + payload.size();
        if (mp_check(&position, end) != 0 || position != end)
            return false;
        return nestingIsBounded(payload.data(), end);
    }

} // namespace

std::string_view messageName(const Message& message) { return messageNames[message.index()]; }

std::string encodeFrame(const Message& message)
{
    Json json = std::visit([](const auto& value) { return compactJson(value); }, message);
    json["t"] = messageName(message);
    std::string frame(frameHeaderBytes, '\0');
    Json::to_msgpack(json, nlohmann::detail::output_adapter<char>(frame));
    const size_t length = frame.size() - frameHeaderBytes;
    for (size_t i = 0; i < frameHeaderBytes; ++i)
        frame[i] = static_cast<char>(length >> (8 * (frameHeaderBytes - 1 - i)) & 0xff);
    return frame;
}

Result<Message> decodePayload(std::string_view payload)
{
    if (!isSingleBoundedMap(payload))
        return fail(ErrorKind::Protocol, "frame is not a valid MessagePack map");
    const Json json = Json::from_msgpack(payload, true, false);
    if (json.is_discarded())
        return fail(ErrorKind::Protocol, "frame is not a valid MessagePack map");
    const auto type = json.find("t");
    if (type == json.end() || !type->is_string())
        return fail(ErrorKind::Protocol, "frame has no message type");
    const auto& name = type->get_ref<const std::string&>();
    for (size_t i = 0; i < messageNames.size(); ++i) {
        if (messageNames[i] != name)
            continue;
        try {
            return decoders[i](json);
        } catch (const Json::exception& error) {
            return fail(ErrorKind::Protocol, error.what());
        }
    }
    return fail(ErrorKind::NotFound, "unknown message type " + name);
}

Result<size_t> parseFrameHeader(std::string_view header)
{
    assert(header.size() == frameHeaderBytes);
    size_t length = 0;
    for (const char byte : header)
        length = length << 8 | static_cast<unsigned char>(byte);
    if (length > maxFrameBytes)
        return fail(ErrorKind::TooLarge, "frame of " + std::to_string(length) + " bytes exceeds the limit");
    return length;
}

} // namespace hemlocklead
