#include "figreach/gossip_selector.h"

#include <algorithm>
#include <vector>

namespace figreach {

namespace {

const partition_id& entry_id(const partition_version& entry)
{
    return entry.id;
}

const backend_server_id& entry_id(const coordinator_hint& entry)
{
    return entry.server;
}

std::uint64_t entry_version(const partition_version& entry)
{
    return entry.version;
}

std::uint64_t entry_version(const coordinator_hint& entry)
{
    return entry.term;
}

/// Whether a change of the entry has sends left. Takes one of them.
template <class Sent, class Entry>
bool take_pending_send(Sent& sent, const Entry& entry, std::uint32_t sends)
{
    auto& state = sent[entry_id(entry)];
    if (state.version != entry_version(entry)) {
        state = {.version = entry_version(entry), .sends_left = sends};
    }
    if (state.sends_left == 0) {
        return false;
    }
    --state.sends_left;
    return true;
}

/// Selects up to `max_count` changed entries, and one more in round-robin order if there is room.
template <class Sent, class Entry>
std::vector<Entry> select_entries(Sent& sent, const std::vector<Entry>& all, std::size_t& next,
                                  std::size_t max_count, std::uint32_t sends)
{
    std::vector<Entry> out;
    for (const auto& entry : all) {
        if (out.size() < max_count && take_pending_send(sent, entry, sends)) {
            out.push_back(entry);
        }
    }
    if (!all.empty() && out.size() < max_count) {
        next = (next + 1) % all.size();
        out.push_back(all[next]);
    }
    return out;
}

} // namespace

gossip_selector::gossip_selector(gossip_selector_settings settings_) : settings{settings_} {}

gossip gossip_selector::select(const gossip& local)
{
    gossip out;
    out.description_version = local.description_version;
    out.partitions = select_entries(this->partitions, local.partitions, this->next_partition,
                                    this->settings.max_partitions, this->settings.sends_per_change);
    out.coordinators =
        select_entries(this->coordinators, local.coordinators, this->next_coordinator,
                       this->settings.max_coordinators, this->settings.sends_per_change);
    return out;
}

} // namespace figreach
