#include "Record.h"

#include <cstdio>

namespace review {

Record::Record(const hemlocklead::Clock& clock, const std::string& file)
    : m_clock(clock)
    , m_startedAt(clock.now())
    , m_file(file)
{
}

double Record::seconds() const { return static_cast<double>((m_clock.now() - m_startedAt).count()) / 1000; }

void Record::line(const std::string& text)
{
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f ", seconds());
    m_file << time << text << std::endl;
}

} // namespace review
