// Runs the fault soak for a range of seeds: soak FIRST [LAST]. The exit code is 1 when a seed violated an invariant;
// the faults and logs of that seed are written to soak-SEED.log.
#include "soak/Soak.h"

#include "base/Log.h"

#include <cstdlib>
#include <fstream>
#include <iostream>

namespace hemlocklead::soak {
namespace {

    bool runSeed(uint64_t seed)
    {
        Soak soak({ .seed = seed });
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
        file << soak.logs();
        return false;
    }

} // namespace
} // namespace hemlocklead::soak

int main(int count, char** arguments)
{
    using namespace hemlocklead;
    if (count < 2) {
        std::cerr << "usage: soak FIRST [LAST]" << std::endl;
        return 2;
    }
    configureLog("soak", LogLevel::Error, LogTarget::StandardError);
    const uint64_t first = std::strtoull(arguments[1], nullptr, 10);
    const uint64_t last = count > 2 ? std::strtoull(arguments[2], nullptr, 10) : first;
    bool passed = true;
    for (uint64_t seed = first; seed <= last; ++seed)
        passed &= soak::runSeed(seed);
    return passed ? 0 : 1;
}
