#pragma once

#include "base/Clock.h"

#include <fstream>
#include <string>

namespace review {

using hemlocklead::Duration;
using hemlocklead::Instant;

/// Writes what the stand-ins sent, answered and ran, one line each, with the seconds since the start of the case.
class Record {
public:
    Record(const hemlocklead::Clock& clock, const std::string& file);

    void line(const std::string& text);

    /// Seconds since the start of the case.
    double seconds() const;

private:
    const hemlocklead::Clock& m_clock;
    Instant m_startedAt;
    std::ofstream m_file;
};

} // namespace review
