#include "learning/LearnedState.h"

#include "state/Json.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <span>
#include <tuple>
#include <utility>

namespace hemlocklead::learning {

namespace {

    constexpr uint64_t formatVersion = 1;

    /// Figures beyond these are not estimates of the models: headroom is 1 at the target and at most 8.
    constexpr double maxHeadroomFigure = 100;
    constexpr double maxVariance = 100;
    constexpr double maxMeanMs = 7 * 86'400'000.0;
    constexpr Duration maxTime { 3'600'000 };

    /// Tasks of one image differ by about a third of the headroom at the target.
    constexpr double baselineNoise = 0.3;
    constexpr double accountNoise = 0.05;

    /// Relative change of a mean duration that single tasks cause.
    constexpr double durationNoise = 0.2;

    /// Estimates of which the variance has fallen by this factor say clearly more.
    constexpr double varianceGain = 0.5;

    bool isWithin(double value, double max) { return std::isfinite(value) && value >= 0 && value <= max; }
    bool isWithin(Duration value) { return value >= Duration { 0 } && value <= maxTime; }

    bool isValid(const PairEstimate& row)
    {
        return isWithin(row.headroomPerCore, maxHeadroomFigure) && isWithin(row.variance, maxVariance);
    }
    bool isValid(const BaselineEstimate& row)
    {
        return isWithin(row.headroom, maxHeadroomFigure) && isWithin(row.variance, maxVariance);
    }
    bool isValid(const DurationEstimate& row) { return isWithin(row.meanMs, maxMeanMs) && row.meanMs > 0; }
    bool isValid(const AccountBalance& row) { return isWithin(row.attainedShare, 1) && isWithin(row.age); }
    bool isValid(const EjectedHost& row) { return isWithin(row.remaining); }

    // Rows with lower figures say more.
    double uninformativeness(const PairEstimate& row) { return row.variance; }
    double uninformativeness(const BaselineEstimate& row) { return row.variance; }
    // A wrong estimate of a long task does most harm.
    double uninformativeness(const DurationEstimate& row) { return -row.meanMs; }
    // A job without an account counts as fully served.
    double uninformativeness(const AccountBalance& row) { return row.attainedShare; }
    double uninformativeness(const EjectedHost& row) { return -static_cast<double>(row.remaining.count()); }

    /// Six decimals: the smallest variances are about 1e-4.
    double rounded(double value) { return std::round(value * 1e6) / 1e6; }

    Json toRow(const PairEstimate& row)
    {
        return Json::array(
            { row.latencyCritical, row.bestEffort, rounded(row.headroomPerCore), rounded(row.variance) });
    }
    Json toRow(const BaselineEstimate& row)
    {
        return Json::array({ row.job, row.image, rounded(row.headroom), rounded(row.variance) });
    }
    Json toRow(const DurationEstimate& row) { return Json::array({ row.image, rounded(row.meanMs) }); }
    Json toRow(const AccountBalance& row)
    {
        return Json::array({ row.job, rounded(row.attainedShare), row.age.count() });
    }
    Json toRow(const EjectedHost& row) { return Json::array({ row.host, row.remaining.count() }); }

    template <typename Figure> void readCell(const Json& row, size_t column, Figure& figure)
    {
        row.at(column).get_to(figure);
    }

    /// get_to() of an integer takes a fraction or a value beyond its range without an error.
    void readCell(const Json& row, size_t column, Duration& time)
    {
        const auto milliseconds = row.at(column).get<double>();
        const bool isInRange = isWithin(milliseconds, static_cast<double>(maxTime.count()));
        time = isInRange ? Duration { static_cast<int64_t>(milliseconds) } : Duration { -1 };
    }

    template <typename... Figures> void readCells(const Json& row, Figures&... figures)
    {
        size_t column = 0;
        (readCell(row, column++, figures), ...);
    }

    void readRow(const Json& row, PairEstimate& out)
    {
        readCells(row, out.latencyCritical, out.bestEffort, out.headroomPerCore, out.variance);
    }
    void readRow(const Json& row, BaselineEstimate& out)
    {
        readCells(row, out.job, out.image, out.headroom, out.variance);
    }
    void readRow(const Json& row, DurationEstimate& out) { readCells(row, out.image, out.meanMs); }
    void readRow(const Json& row, AccountBalance& out) { readCells(row, out.job, out.attainedShare, out.age); }
    void readRow(const Json& row, EjectedHost& out) { readCells(row, out.host, out.remaining); }

    /// Calls `visit(name, rows)` for each kind of data.
    template <typename State, typename Visit> void forEachKind(State& state, Visit visit)
    {
        visit("pairs", state.pairs);
        visit("durations", state.durations);
        visit("baselines", state.baselines);
        visit("accounts", state.accounts);
        visit("ejections", state.ejections);
    }

    /// The rows of one kind, the most informative first. They are encoded one at a time, since most of a state that is
    /// too large is never needed.
    struct EncodedKind {
        std::string name;
        size_t count { 0 };
        std::function<std::string(size_t)> encodedRow;
        std::vector<std::string> rows; ///< Chosen from the front.
        bool isFull { false }; ///< The next row does not fit.
    };

    template <typename Row> EncodedKind encodedKind(std::string name, const std::vector<Row>& rows)
    {
        std::vector<const Row*> sorted;
        for (const Row& row : rows) {
            if (isValid(row))
                sorted.push_back(&row);
        }
        std::ranges::stable_sort(sorted, {}, [](const Row* row) { return uninformativeness(*row); });
        EncodedKind kind { std::move(name), sorted.size(), {}, {} };
        kind.encodedRow = [sorted = std::move(sorted)](size_t index) { return jsonText(toRow(*sorted[index])); };
        return kind;
    }

    /// Chooses rows of all kinds in turn until none fits into `room` bytes any more.
    void chooseRows(std::span<EncodedKind> kinds, size_t room)
    {
        const auto isDone = [](const EncodedKind& kind) { return kind.isFull || kind.rows.size() == kind.count; };
        while (!std::ranges::all_of(kinds, isDone)) {
            for (EncodedKind& kind : kinds) {
                if (isDone(kind))
                    continue;
                std::string row = kind.encodedRow(kind.rows.size());
                kind.isFull = row.size() + 1 > room;
                if (kind.isFull)
                    continue;
                room -= row.size() + 1;
                kind.rows.push_back(std::move(row));
            }
        }
    }

    struct Header {
        uint64_t epoch { 0 };
        int64_t writtenMs { 0 };
    };

    std::optional<Header> readHeader(std::string_view text)
    {
        constexpr size_t maxHeaderBytes = 1024;
        const size_t end = text.substr(0, maxHeaderBytes).find('\n');
        if (end == std::string_view::npos)
            return std::nullopt;
        const Json header = Json::parse(text.substr(0, end), nullptr, false);
        if (!header.is_object())
            return std::nullopt;
        const auto version = header.find("version");
        const auto epoch = header.find("epoch");
        const auto writtenMs = header.find("written_ms");
        if (version == header.end() || epoch == header.end() || writtenMs == header.end())
            return std::nullopt;
        // A time before 1970 or beyond the range of int64_t is not one that an owner writes.
        const bool isTyped = version->is_number_unsigned() && epoch->is_number_unsigned()
            && writtenMs->is_number_unsigned() && std::in_range<int64_t>(writtenMs->get<uint64_t>());
        if (!isTyped || version->get<uint64_t>() != formatVersion)
            return std::nullopt;
        return Header { epoch->get<uint64_t>(), writtenMs->get<int64_t>() };
    }

    template <typename Row> void readRows(const Json& data, const char* name, std::vector<Row>& rows)
    {
        const auto kind = data.find(name);
        if (kind == data.end())
            return;
        if (!kind->is_array())
            throw Json::other_error::create(501, "not an array", &data);
        for (const Json& encoded : *kind) {
            Row row;
            readRow(encoded, row);
            if (isValid(row))
                rows.push_back(std::move(row));
        }
    }

    auto nameOf(const PairEstimate& row) { return std::tie(row.latencyCritical, row.bestEffort); }
    auto nameOf(const BaselineEstimate& row) { return std::tie(row.job, row.image); }
    auto nameOf(const DurationEstimate& row) { return std::tie(row.image); }
    auto nameOf(const AccountBalance& row) { return std::tie(row.job); }
    auto nameOf(const EjectedHost& row) { return std::tie(row.host); }

    bool isOtherEstimate(double value, double former, double noise, double variance, double formerVariance)
    {
        return std::abs(value - former) > noise || variance < varianceGain * formerVariance;
    }

    bool differs(const PairEstimate& row, const PairEstimate& former)
    {
        return isOtherEstimate(
            row.headroomPerCore, former.headroomPerCore, std::sqrt(former.variance), row.variance, former.variance);
    }
    bool differs(const BaselineEstimate& row, const BaselineEstimate& former)
    {
        const double noise = std::max(baselineNoise, std::sqrt(former.variance));
        return isOtherEstimate(row.headroom, former.headroom, noise, row.variance, former.variance);
    }
    bool differs(const DurationEstimate& row, const DurationEstimate& former)
    {
        return std::abs(row.meanMs - former.meanMs) > durationNoise * former.meanMs;
    }
    bool differs(const AccountBalance& row, const AccountBalance& former)
    {
        return std::abs(row.attainedShare - former.attainedShare) > accountNoise;
    }
    // A longer time left shows another ejection.
    bool differs(const EjectedHost& row, const EjectedHost& former) { return row.remaining > former.remaining; }

    template <typename Row> bool rowsDiffer(const std::vector<Row>& rows, const std::vector<Row>& former)
    {
        if (rows.size() != former.size())
            return true;
        std::map<decltype(nameOf(rows.front())), const Row*> formerByName;
        for (const Row& row : former)
            formerByName.emplace(nameOf(row), &row);
        return std::ranges::any_of(rows, [&](const Row& row) {
            const auto found = formerByName.find(nameOf(row));
            return found == formerByName.end() || differs(row, *found->second);
        });
    }

} // namespace

std::string encode(const LearnedState& state, size_t maxBytes)
{
    std::string text = jsonText({ { "version", formatVersion }, { "epoch", state.epoch },
        { "written_ms", std::max<int64_t>(state.writtenMs, 0) } });
    std::vector<EncodedKind> kinds;
    size_t frame = text.size() + std::string_view("\n{}").size();
    forEachKind(state, [&](const char* name, const auto& rows) {
        kinds.push_back(encodedKind(name, rows));
        frame += kinds.back().name.size() + std::string_view("\"\":[],").size();
    });
    chooseRows(kinds, maxBytes > frame ? maxBytes - frame : 0);
    text += "\n{";
    for (const EncodedKind& kind : kinds) {
        text += (text.ends_with('{') ? "\"" : ",\"") + kind.name + "\":[";
        for (size_t i = 0; i < kind.rows.size(); ++i)
            text += (i == 0 ? "" : ",") + kind.rows[i];
        text += ']';
    }
    return text + '}';
}

std::optional<uint64_t> encodedEpoch(std::string_view text)
{
    const std::optional<Header> header = readHeader(text);
    return header ? std::optional(header->epoch) : std::nullopt;
}

std::optional<LearnedState> decode(std::string_view text)
{
    const std::optional<Header> header = readHeader(text);
    if (!header || text.size() > maxEncodedBytes)
        return std::nullopt;
    const Json data = Json::parse(text.substr(text.find('\n') + 1), nullptr, false);
    if (!data.is_object())
        return std::nullopt;
    LearnedState state;
    state.epoch = header->epoch;
    state.writtenMs = header->writtenMs;
    try {
        forEachKind(state, [&](const char* name, auto& rows) { readRows(data, name, rows); });
    } catch (const Json::exception&) {
        return std::nullopt;
    }
    return state;
}

bool hasChanged(const LearnedState& state, const LearnedState& former)
{
    return rowsDiffer(state.pairs, former.pairs) || rowsDiffer(state.durations, former.durations)
        || rowsDiffer(state.baselines, former.baselines) || rowsDiffer(state.accounts, former.accounts)
        || rowsDiffer(state.ejections, former.ejections);
}

} // namespace hemlocklead::learning
