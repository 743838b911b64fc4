#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace hemlocklead {

/// Writes a sequence of MessagePack values without names, for messages and records whose size matters.
class PackWriter {
public:
    void putUnsigned(uint64_t value);
    void putInteger(int64_t value);
    void putText(std::string_view value);

    void append(const PackWriter& other) { m_bytes += other.m_bytes; }

    std::string take() { return std::move(m_bytes); }

private:
    std::string m_bytes;
};

/// Reads the values that a PackWriter has written. Input may be malformed: after a value that is missing or of another
/// type, all further values are 0 or empty and `isValid` returns false.
class PackReader {
public:
    explicit PackReader(std::string_view bytes);

    uint64_t takeUnsigned();
    int64_t takeInteger();
    std::string takeText();

    bool isValid() const { return m_valid; }
    bool isAtEnd() const { return m_position == m_end; }

    /// Reads the number of elements that follow. Each takes at least one byte, so a larger number is invalid.
    size_t takeCount();

    /// Marks the input as invalid, for a value that is well-formed but not allowed.
    void reject() { m_valid = false; }

private:
    /// Start of the next value if it is complete, or null; advances past the value.
    const char* next();

    const char* m_position;
    const char* m_end;
    bool m_valid { true };
};

} // namespace hemlocklead
