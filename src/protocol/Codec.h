#pragma once

#include "base/Result.h"
#include "protocol/Messages.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace hemlocklead {

constexpr size_t maxFrameBytes = 4 * 1024 * 1024;
constexpr size_t frameHeaderBytes = 4;
constexpr int maxNesting = 32;

/// Frame of `message`: 4 bytes of big-endian length, then one MessagePack map.
std::string encodeFrame(const Message& message);

/// Decodes the payload of a frame. Fails with `Protocol` when the bytes are no single MessagePack map, nest deeper
/// than `maxNesting`, or have a field of a wrong type, and with `NotFound` when the message type is not known.
Result<Message> decodePayload(std::string_view payload);

/// Payload length that a frame header states. Fails with `TooLarge` above `maxFrameBytes`.
Result<size_t> parseFrameHeader(std::string_view header);

} // namespace hemlocklead
