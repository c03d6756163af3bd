#include "figreach/assigner.h"

#include <limits>
#include <utility>

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

void assigner::on_report(const load_report& report, monotonic_time)
{
    this->reports[report.server] = report;
}

std::optional<partition> assigner::plan(const partition&, const description&, monotonic_time)
{
    return std::nullopt;
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
