// Runs the registered benchmarks and checks their counters against bench/bounds.toml.
//
// benchmarks --bounds FILE [Google Benchmark options]. Exit code 1 if a bound is violated or its counter is missing.

#include <benchmark/benchmark.h>
#include <toml++/toml.h>

#include <cstdio>
#include <cstring>
#include <string>
#include <string_view>
#include <vector>

namespace {

/// One counter of one benchmark run.
struct Measurement {
    std::string benchmark;
    std::string counter;
    double value { 0 };
};

/// Console reporter that also stores the counters.
class CollectingReporter final : public benchmark::ConsoleReporter {
public:
    void ReportRuns(const std::vector<Run>& runs) override
    {
        for (const Run& run : runs) {
            for (const auto& [name, counter] : run.counters)
                m_measurements.push_back({ run.benchmark_name(), name, counter.value });
        }
        ConsoleReporter::ReportRuns(runs);
    }

    const Measurement* find(std::string_view benchmark, std::string_view counter) const
    {
        for (const Measurement& measurement : m_measurements) {
            if (measurement.benchmark.starts_with(benchmark) && measurement.counter == counter)
                return &measurement;
        }
        return nullptr;
    }

private:
    std::vector<Measurement> m_measurements;
};

/// Checks one `[[bound]]` table and prints the result.
bool checkBound(const toml::table& bound, const CollectingReporter& reporter)
{
    const std::string benchmark = bound["benchmark"].value_or(std::string());
    const std::string counter = bound["counter"].value_or(std::string());
    const Measurement* measurement = reporter.find(benchmark, counter);
    if (!measurement) {
        std::printf("bound benchmark=%s counter=%s verdict=missing\n", benchmark.c_str(), counter.c_str());
        return false;
    }
    const auto most = bound["most"].value<double>();
    const auto least = bound["least"].value<double>();
    const bool isMet = (!most || measurement->value <= *most) && (!least || measurement->value >= *least);
    std::printf("bound benchmark=%s counter=%s value=%.4g %s=%.4g verdict=%s\n", benchmark.c_str(), counter.c_str(),
        measurement->value, most ? "most" : "least", most ? *most : least.value_or(0), isMet ? "kept" : "broken");
    return isMet;
}

bool checkBounds(const std::string& file, const CollectingReporter& reporter)
{
    const toml::parse_result parsed = toml::parse_file(file);
    if (!parsed) {
        std::fprintf(stderr, "cannot read %s\n", file.c_str());
        return false;
    }
    const toml::array* bounds = parsed.table()["bound"].as_array();
    bool allMet = true;
    for (size_t i = 0; bounds && i < bounds->size(); ++i)
        allMet = checkBound(*bounds->get(i)->as_table(), reporter) && allMet;
    return allMet;
}

} // namespace

int main(int argc, char** argv)
{
    std::string boundsFile;
    std::vector<char*> arguments;
    for (int i = 0; i < argc; ++i) {
        if (std::strcmp(argv[i], "--bounds") == 0 && i + 1 < argc)
            boundsFile = argv[++i];
        else
            arguments.push_back(argv[i]);
    }
    int count = static_cast<int>(arguments.size());
    benchmark::Initialize(&count, arguments.data());
    if (benchmark::ReportUnrecognizedArguments(count, arguments.data()))
        return 2;
    CollectingReporter reporter;
    benchmark::RunSpecifiedBenchmarks(&reporter);
    if (boundsFile.empty())
        return 0;
    return checkBounds(boundsFile, reporter) ? 0 : 1;
}
