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

/// Encodes `message` as a frame: a 4-byte big-endian payload length, then one MessagePack map.
std::string encodeFrame(const Message& message);

/// Decodes the payload of a frame. Fails with `Protocol` if the payload is not a single MessagePack map, nests deeper
/// than `maxNesting`, or has a field of the wrong type, and with `NotFound` if the message type is unknown.
Result<Message> decodePayload(std::string_view payload);

/// Name of the message's type, as it stands in the frame.
std::string_view messageName(const Message& message);

/// Returns the payload length in bytes from a frame header. Fails with `TooLarge` above `maxFrameBytes`.
Result<size_t> parseFrameHeader(std::string_view header);

} // namespace hemlocklead
