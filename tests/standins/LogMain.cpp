// Stand-in for the platform's log: standin-log --listen IP:PORT [--retention-records N]
#include "base/Log.h"
#include "standins/LogServer.h"

#include <cstdio>
#include <cstdlib>
#include <string_view>

namespace hemlocklead {
namespace {

    struct Options {
        std::string listen;
        size_t retentionRecords { 0 };
    };

    /// Parses pairs of option and value. Returns false on an unknown option, a missing value or a missing `--listen`.
    bool parseOptions(int count, char** arguments, Options& options)
    {
        for (int i = 1; i < count; i += 2) {
            const std::string_view name = arguments[i];
            if (i + 1 == count)
                return false;
            if (name == "--listen")
                options.listen = arguments[i + 1];
            else if (name == "--retention-records")
                options.retentionRecords = std::strtoull(arguments[i + 1], nullptr, 10);
            else
                return false;
        }
        return !options.listen.empty();
    }

    Result<void> serve(const Options& options)
    {
        BOOST_LEAF_AUTO(address, parseAddress(options.listen));
        EventLoop loop;
        LogServer server(loop, options.retentionRecords);
        BOOST_LEAF_CHECK(server.listen(address));
        LogEvent(LogLevel::Info, "listening").field("address", address.text());
        loop.onTerminate([&] { loop.stop(); });
        loop.run();
        return {};
    }

} // namespace
} // namespace hemlocklead

int main(int argc, char** argv)
{
    using namespace hemlocklead;
    Options options;
    if (!parseOptions(argc, argv, options)) {
        std::fprintf(stderr, "usage: standin-log --listen IP:PORT [--retention-records N]\n");
        return 2;
    }
    configureLog("standin-log", LogLevel::Info);
    return orElse(
        [&]() -> Result<int> {
            BOOST_LEAF_CHECK(serve(options));
            return 0;
        },
        [](const Error& error) {
            LogEvent(LogLevel::Error, "stopped").field("message", error.message);
            return 1;
        });
}
