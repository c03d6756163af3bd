#include "figreach/gossip_selector.h"

#include <algorithm>
#include <vector>

namespace figreach {

namespace {

const partition_id& name_of_entry(const partition_version& one)
{
    return one.id;
}

const backend_server_id& name_of_entry(const coordinator_hint& one)
{
    return one.server;
}

std::uint64_t version_of_entry(const partition_version& one)
{
    return one.version;
}

std::uint64_t version_of_entry(const coordinator_hint& one)
{
    return one.term;
}

/// Whether the entry changed lately enough to be told now; counts the send.
template <class Told, class Entry>
bool take_change(Told& told, const Entry& entry, std::uint32_t sends)
{
    auto& kept = told[name_of_entry(entry)];
    if (kept.version != version_of_entry(entry)) {
        kept = {.version = version_of_entry(entry), .sends_left = sends};
    }
    if (kept.sends_left == 0) {
        return false;
    }
    --kept.sends_left;
    return true;
}

template <class Told, class Entry>
std::vector<Entry> choose(Told& told, const std::vector<Entry>& all, std::size_t& next,
                          std::size_t most, std::uint32_t sends)
{
    std::vector<Entry> out;
    for (const auto& entry : all) {
        if (out.size() < most && take_change(told, entry, sends)) {
            out.push_back(entry);
        }
    }
    if (!all.empty() && out.size() < most) {
        next = (next + 1) % all.size();
        out.push_back(all[next]);
    }
    return out;
}

} // namespace

gossip_selector::gossip_selector(gossip_selector_settings settings_) : settings{settings_} {}

gossip gossip_selector::select(const gossip& news)
{
    gossip out;
    out.description_version = news.description_version;
    out.partitions = choose(this->partitions, news.partitions, this->next_partition,
                            this->settings.most_partitions, this->settings.sends_of_change);
    out.coordinators = choose(this->coordinators, news.coordinators, this->next_coordinator,
                              this->settings.most_coordinators, this->settings.sends_of_change);
    return out;
}

} // namespace figreach
