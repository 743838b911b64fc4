#pragma once

#include "state/Json.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hemlocklead {

/// Records that are stored together by one append: `{"producer": id, "sequence": n, "records": [...]}`.
struct LogBatch {
    std::string producer;
    uint64_t sequence { 0 };
    Json records = Json::array();
};

/// Encodes a batch. `records` are JSON texts and are copied unchecked.
std::string encodeBatch(std::string_view producer, uint64_t sequence, const std::vector<std::string>& records);

/// Decodes a batch; returns nullopt if it is malformed. All readers skip malformed batches.
std::optional<LogBatch> parseBatch(std::string_view text);

} // namespace hemlocklead
