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

/// Smallest and largest integer that a setting may have; for durations in milliseconds.
struct SettingsRange {
    int64_t smallest { 1 };
    int64_t largest { 366LL * 24 * 3600 * 1000 };
};

/// Where a settings key goes in T.
template <typename T>
using SettingsMember = std::variant<std::string T::*, Address T::*, std::vector<Address> T::*, Duration T::*,
    uint32_t T::*, int64_t T::*, double T::*, bool T::*>;

/// One key of a settings table.
template <typename T> struct SettingsField {
    std::string_view key;
    SettingsMember<T> member;
    bool required { false };
    SettingsRange range {}; ///< For integers and durations.
};

/// A condition on the whole of T, reported at `key`.
template <typename T> struct SettingsRule {
    std::string_view key;
    std::string_view requirement; ///< Says what must hold, for people.
    bool (*holds)(const T&);
};

/// One table of a TOML settings file. Every error is `InvalidSettings` with the message `FILE:LINE: KEY: reason`.
class SettingsReader {
public:
    SettingsReader();
    ~SettingsReader();
    SettingsReader(const SettingsReader&) = delete;
    SettingsReader& operator=(const SettingsReader&) = delete;

    /// Parses `file`, which has the single table `table`.
    Result<void> open(const std::string& file, std::string_view table);

    /// Fails when the table has a key that is not among `known`.
    Result<void> checkKeys(std::span<const std::string_view> known) const;

    /// Whether the table has the key.
    bool has(std::string_view key) const;

    /// Read the value of a key that is there. Names are not empty and have no blanks, slashes or control characters.
    Result<void> read(std::string_view key, SettingsRange range, std::string& out) const;
    Result<void> read(std::string_view key, SettingsRange range, Address& out) const;
    Result<void> read(std::string_view key, SettingsRange range, std::vector<Address>& out) const;
    Result<void> read(std::string_view key, SettingsRange range, Duration& out) const;
    Result<void> read(std::string_view key, SettingsRange range, uint32_t& out) const;
    Result<void> read(std::string_view key, SettingsRange range, int64_t& out) const;
    Result<void> read(std::string_view key, SettingsRange range, double& out) const; ///< Not negative.
    Result<void> read(std::string_view key, SettingsRange range, bool& out) const;

    /// Error at `key`, or at the table when the key is not there.
    boost::leaf::error_id failAt(std::string_view key, const std::string& reason) const;

private:
    struct Document;

    std::unique_ptr<Document> m_document;
};

/// The table of `file` that the settings file holds: `entry`, `agent`, `platform_entry` or `platform_agent`; fails with
/// `InvalidSettings`.
Result<std::string> settingsRole(const std::string& file);

/// Reads the table `table` of `file` into a T with its default values. Fails with `InvalidSettings`.
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
        if (!rule.holds(settings))
            return reader.failAt(rule.key, std::string(rule.requirement));
    }
    return settings;
}

} // namespace hemlocklead
