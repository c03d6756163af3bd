#include "figreach/validator.h"

#include <algorithm>

namespace figreach {

validator::validator(ownership_settings settings_) : settings{settings_} {}

void validator::start(monotonic_time now)
{
    this->confirms_from = now + this->settings.authority + this->settings.drift_margin;
}

confirm_answer validator::answer(const peer_message& sender, const confirm_request& request,
                                 monotonic_time now)
{
    const auto& id = request.known.id;
    const asker by{.host = sender.sender, .incarnation = sender.incarnation};
    this->learn(request.known);
    confirm_answer out{.sequence = request.sequence,
                       .known = {.id = id, .version = this->version_of(id)},
                       .servers = {},
                       .recovering = this->recovering(id, now)};
    auto& latest = this->latest_request[{id, by}];
    if (request.sequence < latest) {
        return out;
    }
    latest = request.sequence;
    this->release_unlisted(by, request);
    if (out.recovering || out.known.version > request.known.version) {
        return out;
    }
    for (const auto& server : request.servers) {
        if (!this->may_hold(id, server, by, now)) {
            continue;
        }
        const auto until = now + this->settings.authority + this->settings.drift_margin;
        this->holds[id][server] = {.by = by, .until = until};
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
    this->knows_store = true;
}

void validator::mark_version_current(const partition_id& id)
{
    this->trusted.insert(id);
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
    const bool knows = this->knows_store || this->trusted.contains(id);
    return !knows || now < this->confirms_from;
}

/// A coordinator that no longer lists a backend server has given it up.
void validator::release_unlisted(const asker& by, const confirm_request& request)
{
    std::erase_if(this->holds[request.known.id], [&](const auto& item) {
        const bool listed = std::ranges::find(request.servers, item.first) != request.servers.end();
        return item.second.by == by && !listed;
    });
}

bool validator::may_hold(const partition_id& id, const backend_server_id& server, const asker& by,
                         monotonic_time now) const
{
    const auto of_partition = this->holds.find(id);
    if (of_partition == this->holds.end()) {
        return true;
    }
    const auto found = of_partition->second.find(server);
    return found == of_partition->second.end() || found->second.by == by ||
           now >= found->second.until;
}

} // namespace figreach
