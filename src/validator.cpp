#include "figreach/validator.h"

#include <algorithm>

namespace figreach {

validator::validator(ownership_settings settings_) : settings{settings_} {}

void validator::start(monotonic_time now)
{
    this->confirms_from = now + this->settings.authority + this->settings.drift_margin;
}

confirm_answer validator::answer(const peer_message& message, const confirm_request& request,
                                 monotonic_time now)
{
    const auto& id = request.known.id;
    const requester from{.host = message.sender, .incarnation = message.incarnation};
    this->learn(request.known);
    confirm_answer out{.sequence = request.sequence,
                       .known = {.id = id, .version = this->version_of(id)},
                       .servers = {},
                       .recovering = this->recovering(id, now)};
    auto& latest = this->latest_sequence[{id, from}];
    if (request.sequence < latest) {
        return out;
    }
    latest = request.sequence;
    this->release_unlisted(from, request);
    if (out.recovering || out.known.version > request.known.version) {
        return out;
    }
    for (const auto& server : request.servers) {
        if (!this->may_hold(id, server, from, now)) {
            continue;
        }
        const auto until = now + this->settings.authority + this->settings.drift_margin;
        this->holds[id][server] = {.holder = from, .until = until};
        out.servers.push_back(server);
    }
    return out;
}

void validator::learn(const partition_version& version)
{
    auto& known = this->versions[version.id];
    known = std::max(known, version.version);
}

void validator::mark_all_versions_current()
{
    this->all_versions_current = true;
}

void validator::mark_version_current(const partition_id& id)
{
    this->current_partitions.insert(id);
}

std::uint64_t validator::version_of(const partition_id& id) const
{
    const auto found = this->versions.find(id);
    return found == this->versions.end() ? 0 : found->second;
}

bool validator::recovering(const partition_id& id, monotonic_time now) const
{
    if (!this->settings.wait_after_restart) {
        return false;
    }
    const bool is_current = this->all_versions_current || this->current_partitions.contains(id);
    return !is_current || now < this->confirms_from;
}

void validator::release_unlisted(const requester& from, const confirm_request& request)
{
    std::erase_if(this->holds[request.known.id], [&](const auto& item) {
        const bool listed = std::ranges::find(request.servers, item.first) != request.servers.end();
        return item.second.holder == from && !listed;
    });
}

bool validator::may_hold(const partition_id& id, const backend_server_id& server,
                         const requester& from, monotonic_time now) const
{
    const auto partition_holds = this->holds.find(id);
    if (partition_holds == this->holds.end()) {
        return true;
    }
    const auto found = partition_holds->second.find(server);
    return found == partition_holds->second.end() || found->second.holder == from ||
           now >= found->second.until;
}

} // namespace figreach
