#include "figreach/assigner.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "figreach/assignment_draft.h"
#include "figreach/assignment_steps.h"
#include "figreach/key_hash.h"

namespace figreach {

partition first_assignment(const description& all, const partition_id& id,
                           const std::vector<host_id>& validators, std::string writer)
{
    partition out;
    out.id = id;
    out.version = 1;
    out.writer = std::move(writer);
    out.validators = validators;
    const auto* described = find_service(all, id.service);
    for (const auto& server : all.backend_servers) {
        if (server.service == id.service && receives_work(all, server)) {
            out.backend_servers.push_back(server.name);
        }
    }
    if (described == nullptr || out.backend_servers.empty()) {
        return out;
    }
    const auto servers = out.backend_servers.size();
    const auto count = servers * described->slices_per_server;
    const auto width = std::numeric_limits<key_hash>::max() / count;
    for (std::size_t i = 0; i < count; ++i) {
        const auto owner = static_cast<std::uint32_t>(i % servers);
        out.slices.push_back(
            {.first = width * i, .owner = owner, .fence = 1, .pinned = false, .moving_to = {}});
    }
    return out;
}

assigner::assigner(assigner_settings settings_) : settings{settings_} {}

void assigner::on_report(const load_report& report, monotonic_time now)
{
    this->loads_of(report.id).on_report(report, now);
}

std::optional<partition> assigner::plan(const partition& present, const description& all,
                                        monotonic_time now)
{
    const auto* described = find_service(all, present.id.service);
    if (described == nullptr || present.slices.empty()) {
        return std::nullopt;
    }
    auto draft = this->make_draft(present, all, *described, now);
    if (!draft.has_capacity()) {
        return std::nullopt;
    }
    const auto receiving = static_cast<std::size_t>(
        std::ranges::count_if(draft.servers(), [](const auto& one) { return one.capacity > 0.0; }));
    const auto described_slices = receiving * described->slices_per_server;
    redirect_moves(draft);
    evacuate(draft);
    apply_pins(draft, *described);
    fill_new_servers(draft);
    if (described->divided_by_key) {
        const auto churn = this->remaining_churn(present.id, now);
        const auto moved_width = balance(draft, this->settings, churn, described_slices);
        if (moved_width > 0.0) {
            this->recent_moves[present.id].push_back({.at = now, .width = moved_width});
        }
        merge_cold_slices(draft, this->settings, described_slices);
    }
    drop_removed_servers(draft, all, described->name);
    if (draft.document() == present) {
        return std::nullopt;
    }
    return draft.document();
}

slice_loads& assigner::loads_of(const partition_id& id)
{
    const auto [found, created] =
        this->loads.try_emplace(id, this->settings.settling_time, this->settings.report_lifetime);
    return found->second;
}

assignment_draft assigner::make_draft(const partition& present, const description& all,
                                      const service& described, monotonic_time now)
{
    auto document = present;
    for (const auto& server : all.backend_servers) {
        const bool listed = std::ranges::find(document.backend_servers, server.name) !=
                            document.backend_servers.end();
        if (server.service == described.name && receives_work(all, server) && !listed) {
            document.backend_servers.push_back(server.name);
        }
    }
    std::vector<draft_server> servers;
    for (const auto& name : document.backend_servers) {
        draft_server one{.name = name};
        const auto* server = find_server(all, name);
        if (server != nullptr && server->service == described.name) {
            one.failure_domain = server->failure_domain;
            one.capacity = this->capacity_of(present.id, all, *server, now);
        }
        servers.push_back(std::move(one));
    }
    const auto& estimates = this->loads_of(present.id).update(present, now);
    return {std::move(document), std::move(servers), estimates};
}

double assigner::capacity_of(const partition_id& id, const description& all,
                             const backend_server& server, monotonic_time now)
{
    if (!receives_work(all, server)) {
        return 0.0;
    }
    const auto whole = static_cast<double>(server.slots);
    switch (this->loads_of(id).condition(server.name, now)) {
    case server_condition::serving:
        return whole;
    case server_condition::cold:
        return whole * this->settings.cold_capacity;
    case server_condition::slow:
    case server_condition::shedding:
        return whole * this->settings.slow_capacity;
    case server_condition::leaving:
    case server_condition::lost:
        return 0.0;
    }
    return 0.0;
}

double assigner::remaining_churn(const partition_id& id, monotonic_time now)
{
    auto& recent = this->recent_moves[id];
    while (!recent.empty() && now - recent.front().at >= this->settings.churn_window) {
        recent.pop_front();
    }
    double left = this->settings.max_churn;
    for (const auto& one : recent) {
        left -= one.width;
    }
    return left;
}

host_id preferred_host(const std::string& item, const std::vector<host_id>& hosts)
{
    host_id best;
    std::uint64_t best_weight = 0;
    for (const auto& host : hosts) {
        const auto weight = rendezvous_weight(item, host.value);
        if (best.empty() || weight > best_weight) {
            best = host;
            best_weight = weight;
        }
    }
    return best;
}

} // namespace figreach
