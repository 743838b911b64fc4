#pragma once

#include "base/Clock.h"
#include "transport/Address.h"

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace hemlocklead {

/// Allowed range of an integer setting, both ends included; in milliseconds for durations.
struct SettingsRange {
    int64_t smallest { 1 };
    int64_t largest { 366LL * 24 * 3600 * 1000 };
};

/// Member of T that a settings key is stored in.
template <typename T>
using SettingsMember = std::variant<std::string T::*, Address T::*, std::vector<Address> T::*, Duration T::*,
    uint32_t T::*, int64_t T::*, double T::*, bool T::*>;

/// One key of a settings table.
template <typename T> struct SettingsField {
    std::string_view key;
    SettingsMember<T> member;
    bool required { false };
    SettingsRange range {}; ///< Applies to integers and durations.
};

/// Condition that may involve several members of T. A violation is reported at `key`.
template <typename T> struct SettingsRule {
    std::string_view key;
    std::string_view requirement; ///< Error message that states the condition.
    bool (*isSatisfied)(const T&);
};

/// One table of a TOML settings file. Every error is `InvalidSettings` with the message `FILE:LINE: KEY: reason`.
class SettingsReader {
public:
    SettingsReader();
    ~SettingsReader();
    SettingsReader(const SettingsReader&) = delete;
    SettingsReader& operator=(const SettingsReader&) = delete;

    /// Parses `file`. Fails if it has anything but the table `table`.
    Result<void> open(const std::string& file, std::string_view table);

    /// Fails if the table has a key that is not in `known`.
    Result<void> checkKeys(std::span<const std::string_view> known) const;

    /// Whether the table has the key.
    bool has(std::string_view key) const;

    /// Read the value of a key, which must exist. Strings must be non-empty, without blanks, slashes or control
    /// characters.
    Result<void> read(std::string_view key, SettingsRange range, std::string& out) const;
    Result<void> read(std::string_view key, SettingsRange range, Address& out) const;
    Result<void> read(std::string_view key, SettingsRange range, std::vector<Address>& out) const;
    Result<void> read(std::string_view key, SettingsRange range, Duration& out) const;
    Result<void> read(std::string_view key, SettingsRange range, uint32_t& out) const;
    Result<void> read(std::string_view key, SettingsRange range, int64_t& out) const;
    Result<void> read(std::string_view key, SettingsRange range, double& out) const; ///< Must not be negative.
    Result<void> read(std::string_view key, SettingsRange range, bool& out) const;

    /// Returns an error with the line of `key`, or with that of the table if the key is missing.
    boost::leaf::error_id failAt(std::string_view key, const std::string& reason) const;

private:
    struct Document;

    std::unique_ptr<Document> m_document;
};

/// Returns the name of the table in `file`: `entry`, `agent`, `platform_entry` or `platform_agent`. Fails with
/// `InvalidSettings` if it has none of them.
Result<std::string> settingsRole(const std::string& file);

/// Reads the table `table` of `file` into a T; missing optional keys keep their default. Fails with `InvalidSettings`.
template <typename T>
Result<T> readSettings(const std::string& file, std::string_view table, std::span<const SettingsField<T>> fields,
    std::span<const SettingsRule<T>> rules)
{
    SettingsReader reader;
    BOOST_LEAF_CHECK(reader.open(file, table));
    std::vector<std::string_view> keys;
    for (const SettingsField<T>& field : fields)
        keys.push_back(field.key);
    BOOST_LEAF_CHECK(reader.checkKeys(keys));
    T settings;
    for (const SettingsField<T>& field : fields) {
        if (!reader.has(field.key)) {
            if (field.required)
                return reader.failAt(field.key, "this key is required");
            continue;
        }
        const auto readMember = [&](auto member) { return reader.read(field.key, field.range, settings.*member); };
        BOOST_LEAF_CHECK(std::visit(readMember, field.member));
    }
    for (const SettingsRule<T>& rule : rules) {
        if (!rule.isSatisfied(settings))
            return reader.failAt(rule.key, std::string(rule.requirement));
    }
    return settings;
}

} // namespace hemlocklead
