#include "soak/TimeOfDay.h"

#include <array>
#include <chrono>
#include <cstdio>
#include <ctime>

namespace hemlocklead::soak {

std::string timeOfDay()
{
    using namespace std::chrono;
    const auto now = system_clock::now();
    const std::time_t seconds = system_clock::to_time_t(now);
    std::tm local {};
    localtime_r(&seconds, &local);
    std::array<char, 32> text {};
    std::snprintf(text.data(), text.size(), "%02d:%02d:%02d.%03d", local.tm_hour, local.tm_min, local.tm_sec,
        static_cast<int>(duration_cast<milliseconds>(now.time_since_epoch()).count() % 1000));
    return text.data();
}

} // namespace hemlocklead::soak
