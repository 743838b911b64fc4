#pragma once

#include "state/Json.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hemlocklead {

/// Records that one append stores together: `{"producer": id, "sequence": n, "records": [...]}`.
struct LogBatch {
    std::string producer;
    uint64_t sequence { 0 };
    Json records = Json::array();
};

/// Text of a batch whose records are JSON texts.
std::string encodeBatch(std::string_view producer, uint64_t sequence, const std::vector<std::string>& records);

/// Reads a batch; nullopt when it is malformed. A malformed batch is skipped by all readers alike.
std::optional<LogBatch> parseBatch(std::string_view text);

} // namespace hemlocklead
