#pragma once

#include <map>
#include <string>
#include <utility>

namespace hemlocklead::dispatch {

/// How likely tasks that fill push a serving task over its target, by the pair of images.
///
/// Most pairs either disturb heavily or hardly at all, so the table counts looks that speak for one or the other.
class HarmTable {
public:
    struct Entry {
        double harmful { 0 }; ///< Looks at which the serving task was over its target, by the share laid on this pair.
        double harmless { 0 }; ///< Looks at which it was far below its target beside the other.
        double unreported { 0 }; ///< Looks since the last report.

        double weight() const { return harmful + harmless; }
    };

    /// Probability that the filling image pushes the serving one over its target; one half while nothing is known.
    double probability(const std::string& serving, const std::string& filling) const;

    /// Counts a look. Old looks fade, since disturbance changes.
    void note(const std::string& serving, const std::string& filling, double harmful, double harmless);

    /// Takes over the counts of others, unless this table has seen more of the pair.
    void merge(const std::string& serving, const std::string& filling, double harmful, double harmless);

    std::map<std::pair<std::string, std::string>, Entry>& entries() { return m_entries; }

private:
    std::map<std::pair<std::string, std::string>, Entry> m_entries;
};

} // namespace hemlocklead::dispatch
