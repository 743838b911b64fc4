#include "protocol/ReportPacking.h"
#include "protocol/Codec.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

namespace hemlocklead {
namespace {

    /// A host whose runs start, progress and end at random, as its agent reports it.
    class RandomHost {
    public:
        explicit RandomHost(uint64_t seed)
            : m_random(seed)
        {
            m_report.host = "side-muscat-a-1";
            m_report.service = "fibre-register";
            m_report.dataCentre = "muscat-a";
            m_report.rack = "r1-3";
            m_report.labels = { "a", "r1-3" };
            m_report.capacity = { 32'000, 128'000, 0 };
            m_report.life = 1'760'000'000'000;
        }

        const HostReport& step()
        {
            m_report.refusals.clear();
            m_report.pending.clear();
            m_report.clockMs += 450;
            m_report.full = !chance(10);
            m_report.silent = chance(20);
            m_report.refusesBestEffort = chance(5);
            m_report.hasMoreEnds = chance(7);
            m_report.settledOrders += below(3);
            if (chance(50))
                m_report.epochSeen += 1000;
            if (chance(40))
                restartWorker();
            acknowledge();
            for (RunReport& run : m_running) {
                if (chance(2))
                    run.percent = static_cast<int64_t>(below(101));
                if (chance(4))
                    run.checkpoint = "00000bb87a21d9" + std::to_string(below(100));
                if (chance(8))
                    run.pace = chance(2) ? 0 : 100;
                if (chance(3))
                    run.tailPerMille = static_cast<int64_t>(below(3000));
            }
            for (uint64_t ends = below(4); ends > 0 && !m_running.empty(); --ends)
                endRun(below(m_running.size()));
            for (uint64_t starts = below(6); starts > 0; --starts)
                m_running.push_back({ taskName(), 1 + static_cast<uint32_t>(below(3)), "", 0 });
            if (chance(5))
                m_report.refusals.push_back({ taskName(), 1, "held" });
            m_report.running.clear();
            if (m_report.full) {
                m_report.running = m_running;
                std::ranges::shuffle(m_report.running, m_random);
                if (chance(3))
                    m_report.pending.push_back({ taskName(), 2, "", 0 });
            }
            return m_report;
        }

    private:
        uint64_t below(uint64_t limit) { return m_random() % limit; }
        bool chance(uint64_t in) { return below(in) == 0; }
        std::string taskName()
        {
            return "5c0e7a21d94b36f8.0." + std::to_string(below(3)) + '.' + std::to_string(++m_tasks);
        }

        void restartWorker()
        {
            m_report.life += 5000;
            m_report.clockMs = 0;
            m_report.ends.clear();
            m_running.clear();
            m_nextEnd = 1;
        }

        void acknowledge()
        {
            const auto count = static_cast<ptrdiff_t>(below(m_report.ends.size() + 1));
            m_report.ends.erase(m_report.ends.begin(), m_report.ends.begin() + count);
        }

        void endRun(size_t position)
        {
            const RunReport& run = m_running[position];
            m_report.ends.push_back({ m_nextEnd++, run.task, run.attempt, "done", run.checkpoint });
            m_running.erase(m_running.begin() + static_cast<ptrdiff_t>(position));
        }

        std::mt19937_64 m_random;
        HostReport m_report;
        std::vector<RunReport> m_running;
        uint64_t m_nextEnd { 1 };
        uint64_t m_tasks { 0 };
    };

    class ReportPackingTest : public testing::Test {
    protected:
        /// The report as JSON, with its runs in a fixed order.
        static Json normalized(HostReport report)
        {
            std::ranges::sort(
                report.running, {}, [](const RunReport& run) { return std::pair(run.task, run.attempt); });
            const std::string frame = encodeFrame(report);
            return Json::from_msgpack(frame.substr(frameHeaderBytes));
        }
    };

    // Guards against a difference between what an agent reports and what the owner reads: over many reports of a host,
    // with restarts of the worker, acknowledged ends and reports without the list of runs.
    TEST_F(ReportPackingTest, reports_packedAndUnpacked_areEqual)
    {
        for (uint64_t seed = 1; seed <= 300; ++seed) {
            RandomHost host(seed);
            HostReportPacker packer;
            HostReportUnpacker unpacker;
            for (int i = 0; i < 60; ++i) {
                const HostReport& report = host.step();
                const std::optional<HostReport> unpacked = unpacker.unpack(packer.pack(report));
                ASSERT_TRUE(unpacked) << "seed " << seed << " report " << i;
                ASSERT_EQ(normalized(report), normalized(*unpacked)) << "seed " << seed << " report " << i;
            }
        }
    }

    // Guards against a malformed report that ends the owner's process or is taken for a valid one of another length.
    TEST_F(ReportPackingTest, report_malformed_isRefused)
    {
        std::mt19937_64 random(1);
        for (uint64_t seed = 1; seed <= 100; ++seed) {
            RandomHost host(seed);
            HostReportPacker packer;
            HostReportUnpacker unpacker;
            for (int i = 0; i < 10; ++i)
                ASSERT_TRUE(unpacker.unpack(packer.pack(host.step())));
            const PackedHostReport last = packer.pack(host.step());
            for (size_t length = 0; length < last.data.size(); ++length) {
                HostReportUnpacker copy = unpacker;
                EXPECT_FALSE(copy.unpack({ last.data.substr(0, length) })) << "seed " << seed << " length " << length;
            }
            for (int i = 0; i < 200; ++i) {
                HostReportUnpacker copy = unpacker;
                PackedHostReport damaged = last;
                damaged.data[random() % damaged.data.size()] = static_cast<char>(random());
                copy.unpack(damaged);
            }
        }
    }

    // Load pattern: the hosts of a site report to an owner with a thin link. Sent completely, the reports of 15 hosts
    // with 22 runs each, 7 a second, took 215 KB/s of the 250 that the link carries.
    TEST_F(ReportPackingTest, reports_ofBusyHost_takeAFifthOfTheCompleteOnes)
    {
        RandomHost host(7);
        HostReportPacker packer;
        size_t complete = 0;
        size_t packed = 0;
        for (int i = 0; i < 200; ++i) {
            const HostReport& report = host.step();
            complete += encodeFrame(report).size();
            packed += encodeFrame(packer.pack(report)).size();
        }
        EXPECT_LT(packed * 5, complete);
    }

} // namespace
} // namespace hemlocklead
