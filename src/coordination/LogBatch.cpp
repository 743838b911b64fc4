#include "coordination/LogBatch.h"

#include "state/RecordFields.h"

namespace hemlocklead {

std::string encodeBatch(std::string_view producer, uint64_t sequence, const std::vector<std::string>& records)
{
    std::string text = R"({"producer":)" + jsonText(Json(producer));
    text += R"(,"sequence":)" + std::to_string(sequence) + R"(,"records":[)";
    for (const std::string& record : records) {
        if (text.back() != '[')
            text += ',';
        text += record;
    }
    text += "]}";
    return text;
}

std::optional<LogBatch> parseBatch(std::string_view text)
{
    Json json = Json::parse(text, nullptr, false);
    if (!json.is_object())
        return std::nullopt;
    const std::string* producer = nameField(json, "producer");
    const auto sequence = numberField(json, "sequence");
    const auto records = json.find("records");
    if (!producer || !sequence || records == json.end() || !records->is_array())
        return std::nullopt;
    return LogBatch { *producer, *sequence, std::move(*records) };
}

} // namespace hemlocklead
