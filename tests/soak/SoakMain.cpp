// Runs the fault soak for a range of seeds: soak FIRST [LAST]. The exit code is 1 when a seed violated an invariant;
// the violations, faults and logs of that seed are written to soak-SEED.log. The exit code is 2 for a usage error; a
// range without a seed is one, since it would check nothing.
#include "soak/Soak.h"

#include "base/Log.h"

#include <charconv>
#include <fstream>
#include <iostream>
#include <optional>
#include <string_view>

namespace hemlocklead::soak {
namespace {

    bool runSeed(uint64_t seed)
    {
        Soak soak(Soak::settingsOf(seed));
        const bool passed = soak.run();
        size_t accepted = 0;
        for (const auto& [id, job] : soak.invariants().jobs())
            accepted += job.accepted;
        std::cout << "soak seed=" << seed << " faults=" << soak.faultCount() << " accepted=" << accepted
                  << " starts=" << soak.invariants().starts() << " violations=" << soak.invariants().violations().size()
                  << std::endl;
        for (const std::string& violation : soak.invariants().violations())
            std::cout << "  " << violation << std::endl;
        if (passed)
            return true;
        std::ofstream file("soak-" + std::to_string(seed) + ".log");
        for (const std::string& fault : soak.faultHistory())
            file << fault << '\n';
        for (const std::string& violation : soak.invariants().violations())
            file << violation << '\n';
        file << soak.logs();
        return false;
    }

    struct SeedRange {
        uint64_t first;
        uint64_t last;
    };

    std::optional<uint64_t> parseSeed(std::string_view text)
    {
        uint64_t seed = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed);
        const bool isNumber = error == std::errc {} && end == text.data() + text.size();
        return isNumber ? std::optional(seed) : std::nullopt;
    }

    /// Returns the seeds that the arguments name; empty if they are not one or two numbers in ascending order.
    std::optional<SeedRange> parseArguments(int count, char** arguments)
    {
        if (count != 2 && count != 3)
            return std::nullopt;
        const std::optional<uint64_t> first = parseSeed(arguments[1]);
        const std::optional<uint64_t> last = parseSeed(arguments[count - 1]);
        if (!first || !last || *last < *first)
            return std::nullopt;
        return SeedRange { *first, *last };
    }

} // namespace
} // namespace hemlocklead::soak

int main(int count, char** arguments)
{
    using namespace hemlocklead;
    const std::optional<soak::SeedRange> seeds = soak::parseArguments(count, arguments);
    if (!seeds) {
        std::cerr << "usage: soak FIRST [LAST], two numbers in ascending order" << std::endl;
        return 2;
    }
    configureLog("soak", LogLevel::Error, LogTarget::StandardError);
    bool passed = true;
    for (uint64_t seed = seeds->first; seed <= seeds->last; ++seed)
        passed &= soak::runSeed(seed);
    return passed ? 0 : 1;
}
