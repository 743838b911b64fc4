#include "dispatch/OwnerEpoch.h"

#include "dispatch/JobRegistry.h"

namespace hemlocklead::dispatch {

namespace {

    /// The page that starts after this key starts with the owner's record.
    constexpr std::string_view keyBeforeOwner = "owner";

    std::optional<uint64_t> epochIn(const NewestPage& page)
    {
        if (!page.ok)
            return std::nullopt;
        if (page.records.empty() || page.records.front().key != ownerKey)
            return 0;
        const Json value = Json::parse(page.records.front().value.value_or(""), nullptr, false);
        const auto epoch = value.is_object() ? value.find("epoch") : value.end();
        if (epoch == value.end() || !epoch->is_number_unsigned())
            return std::nullopt;
        return epoch->get<uint64_t>();
    }

} // namespace

void readOwnerEpoch(JournalService& journal, Duration timeout, std::function<void(std::optional<uint64_t>)> done)
{
    journal.newest(std::string(keyBeforeOwner), timeout,
        [done = std::move(done)](const NewestPage& page) { done(epochIn(page)); });
}

} // namespace hemlocklead::dispatch
