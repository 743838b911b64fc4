#pragma once

#include "support/TestSite.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>
#include <vector>

namespace hemlocklead {

/// Fixture with two entries and the given number of hosts. The catalogue entry `lookup` is in force at both entries.
class LookupSiteTest : public testing::Test {
protected:
    static constexpr Duration configurationBound { 4000 };

    explicit LookupSiteTest(size_t hosts)
        : m_site(2, hosts)
    {
    }

    void SetUp() override
    {
        ASSERT_TRUE(m_site.start()) << m_site.runner().logs();
        ASSERT_EQ(m_site.publish("lookup", "answer-now"), 200);
        const auto inForce = [&] {
            return std::ranges::all_of(std::vector<size_t> { 0, 1 }, [&](size_t entry) {
                const auto response = m_site.send(entry, "GET", "/call/lookup/x");
                return response && response->status == 200;
            });
        };
        ASSERT_TRUE(waitUntil(inForce, configurationBound));
    }

    void TearDown() override
    {
        if (HasFailure())
            std::cerr << m_site.runner().logs();
    }

    TestSite m_site;
};

} // namespace hemlocklead
