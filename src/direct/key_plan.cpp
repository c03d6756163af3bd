#include "figreach/direct/key_plan.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

namespace figreach::direct {

namespace {

struct planned_server {
    const key_server* server = nullptr;
    double load = 0.0; ///< share of all requests
};

/// What each server that takes keys has to do, and what one more request costs there.
class load_plan {
public:
    load_plan(const key_table& table, const std::vector<key_server>& servers,
              const key_loads& loads, const key_plan_settings& settings)
    {
        for (const auto& server : servers) {
            if (server.takes_keys) {
                this->filled[server.id] = {.server = &server, .load = 0.0};
                this->capacity += server.queue.slots / server.queue.service_time.count();
            }
        }
        this->least_load = this->filled.empty() ? 0.0 : settings.min_share * this->equal_share();
        this->rate = std::max(loads.rate(), settings.min_utilization * this->capacity);
        for (const auto& range : table.ranges) {
            auto* owner = this->find(range.owner);
            if (owner != nullptr && !range.moving &&
                owner->server->lifetime == range.owner_lifetime) {
                owner->load += loads.share(range.keys);
            }
        }
    }

    [[nodiscard]] std::size_t size() const { return this->filled.size(); }
    [[nodiscard]] double equal_share() const { return 1.0 / static_cast<double>(this->size()); }

    /// Null: takes no keys.
    [[nodiscard]] planned_server* find(const backend_server_id& id)
    {
        const auto found = this->filled.find(id);
        return found != this->filled.end() ? &found->second : nullptr;
    }

    /// Part of the capacity of all servers.
    [[nodiscard]] double capacity_share(const planned_server& one) const
    {
        const auto& queue = one.server->queue;
        return queue.slots / queue.service_time.count() / this->capacity;
    }

    [[nodiscard]] double cost(const planned_server& one, double more = 0.0) const
    {
        return one.server->queue.marginal_cost((one.load + more) * this->rate);
    }

    /// Where a piece costs least, or a server with hardly any keys.
    [[nodiscard]] planned_server& cheapest(double piece)
    {
        planned_server* out = nullptr;
        double least = 0.0;
        for (auto& [id, one] : this->filled) {
            const bool is_empty = one.load < this->least_load / 2;
            const auto cost = is_empty ? 0.0 : this->cost(one, piece);
            if (out == nullptr || cost < least) {
                out = &one;
                least = cost;
            }
        }
        return *out;
    }

    [[nodiscard]] std::vector<planned_server*> all()
    {
        std::vector<planned_server*> out;
        for (auto& [id, one] : this->filled) {
            out.push_back(&one);
        }
        return out;
    }

private:
    std::map<backend_server_id, planned_server> filled;
    double rate = 0.0;
    double least_load = 0.0;
    double capacity = 0.0; ///< requests per second of all servers together
};

struct key_chunk {
    key_span keys;
    double load = 0.0;

    [[nodiscard]] double density() const
    {
        return this->load / (this->keys.last - this->keys.first + 1);
    }
};

/// Cuts a span into pieces of at most `most` load, or of one key.
std::vector<key_chunk> split_span(const key_span& keys, const key_loads& loads, double most)
{
    std::vector<key_chunk> out;
    key_chunk open{.keys = {.first = keys.first, .last = keys.first}};
    for (auto key = keys.first; key <= keys.last; ++key) {
        const auto load = loads.share({.first = key, .last = key});
        if (key != open.keys.first && open.load + load > most) {
            out.push_back(open);
            open = {.keys = {.first = key, .last = key}, .load = load};
        }
        else {
            open.keys.last = key;
            open.load += load;
        }
    }
    out.push_back(open);
    return out;
}

std::vector<key_chunk> split_ranges_of(const key_table& table, const key_server& server,
                                       const key_loads& loads, double most)
{
    std::vector<key_chunk> out;
    for (const auto& range : table.ranges) {
        if (range.owner == server.id && !range.moving) {
            const auto pieces = split_span(range.keys, loads, most);
            out.insert(out.end(), pieces.begin(), pieces.end());
        }
    }
    std::sort(out.begin(), out.end(), [](const key_chunk& left, const key_chunk& right) {
        return left.density() > right.density();
    });
    return out;
}

/// Joins spans that follow one another.
std::vector<key_span> merge_adjacent(std::vector<key_span> spans)
{
    std::sort(spans.begin(), spans.end(),
              [](const key_span& left, const key_span& right) { return left.first < right.first; });
    std::vector<key_span> out;
    for (const auto& span : spans) {
        if (!out.empty() && out.back().last + 1 == span.first) {
            out.back().last = span.last;
        }
        else {
            out.push_back(span);
        }
    }
    return out;
}

/// The owner of the range that ends right before these keys.
backend_server_id owner_before(const key_table& table, const key_span& keys)
{
    if (keys.first == 0) {
        return {};
    }
    const auto& range = range_of(table, keys.first - 1);
    return range.moving ? backend_server_id{} : range.owner;
}

/// The load of a server less what may be chance in its count of requests.
double load_lower_bound(double load, const key_loads& loads, double deviations)
{
    const auto requests = std::max(1.0, loads.requests());
    return std::max(0.0, load - deviations * std::sqrt(load / requests));
}

/// Pieces that move from one server until a request there costs about as much as elsewhere.
void move_from(planned_server& source, load_plan& fill, const std::vector<key_chunk>& pieces,
               const key_loads& loads, const key_plan_settings& settings, std::size_t most,
               std::vector<key_span>& out)
{
    for (const auto& piece : pieces) {
        if (out.size() >= most) {
            return;
        }
        auto certain = source;
        certain.load = load_lower_bound(source.load, loads, settings.noise_deviations);
        auto& target = fill.cheapest(piece.load);
        const bool keeps_little =
            source.load - piece.load < settings.min_share * fill.equal_share();
        const bool gains =
            fill.cost(target, piece.load) < settings.max_cost_ratio * fill.cost(certain);
        if (&target == &source || keeps_little || !gains) {
            continue;
        }
        source.load -= piece.load;
        target.load += piece.load;
        out.push_back(piece.keys);
    }
}

/// Pieces for servers that have hardly any keys, from the fullest one.
void fill_idle_servers(load_plan& fill, const key_table& table, const key_loads& loads,
                       const key_plan_settings& settings, std::vector<key_span>& out)
{
    const auto least = settings.min_share * fill.equal_share();
    auto servers = fill.all();
    for (auto* one : servers) {
        // Keys that are asked for so rarely that the server may have seen no request.
        if (one->load > least / 2) {
            continue;
        }
        auto* source = *std::max_element(
            servers.begin(), servers.end(),
            [](const auto* left, const auto* right) { return left->load < right->load; });
        const auto pieces = split_ranges_of(table, *source->server, loads, 2 * least);
        if (source == one || pieces.size() < 2 || source->load < 4 * least) {
            continue;
        }
        const auto& piece = pieces[pieces.size() / 2];
        out.push_back(piece.keys);
        source->load -= piece.load;
        one->load += piece.load;
    }
}

} // namespace

std::vector<key_span> keys_to_move(const key_table& table, const std::vector<key_server>& servers,
                                   const key_loads& loads, const key_plan_settings& settings)
{
    load_plan fill{table, servers, loads, settings};
    if (fill.size() < 2) {
        return {};
    }
    const auto most = std::max(settings.min_moves_per_round, fill.size());
    const auto largest = settings.max_chunk_share * fill.equal_share();
    auto sources = fill.all();
    std::sort(sources.begin(), sources.end(), [&fill](const auto* left, const auto* right) {
        return fill.cost(*left) > fill.cost(*right);
    });
    std::vector<key_span> out;
    for (auto* source : sources) {
        auto certain = *source;
        certain.load = load_lower_bound(source->load, loads, settings.noise_deviations);
        const auto& target = fill.cheapest(0.0);
        if (fill.cost(target) >= settings.max_cost_ratio * fill.cost(certain)) {
            break;
        }
        move_from(*source, fill, split_ranges_of(table, *source->server, loads, largest), loads,
                  settings, most, out);
    }
    fill_idle_servers(fill, table, loads, settings, out);
    return merge_adjacent(std::move(out));
}

std::vector<key_placement> place_keys(const std::vector<unowned_keys>& free, const key_table& table,
                                      const std::vector<key_server>& servers,
                                      const key_loads& loads, const key_plan_settings& settings)
{
    load_plan fill{table, servers, loads, settings};
    if (fill.size() == 0) {
        return {};
    }
    const auto largest = settings.max_chunk_share * fill.equal_share();
    std::vector<key_placement> out;
    for (const auto& one : free) {
        auto beside = owner_before(table, one.keys);
        for (const auto& piece : split_span(one.keys, loads, largest)) {
            auto* target = &fill.cheapest(piece.load);
            auto* neighbour = fill.find(beside);
            const auto most = fill.cost(*target, piece.load) * settings.max_neighbour_cost_ratio;
            if (neighbour != nullptr && fill.cost(*neighbour, piece.load) < most &&
                neighbour->load + piece.load <= fill.capacity_share(*neighbour)) {
                target = neighbour;
            }
            target->load += piece.load;
            beside = target->server->id;
            if (!out.empty() && out.back().keys.last + 1 == piece.keys.first &&
                out.back().owner == beside && out.back().handover == one.handover) {
                out.back().keys.last = piece.keys.last;
                continue;
            }
            out.push_back({.keys = piece.keys,
                           .handover = one.handover,
                           .owner = beside,
                           .owner_lifetime = target->server->lifetime});
        }
    }
    return out;
}

std::vector<key_span> ranges_to_join(const key_table& table, const std::vector<key_server>& servers,
                                     const key_plan_settings& settings)
{
    std::vector<key_span> out;
    if (table.ranges.size() <= settings.ranges_per_server * servers.size()) {
        return out;
    }
    for (std::size_t i = 1; i < table.ranges.size(); ++i) {
        const auto& left = table.ranges[i - 1];
        const auto& right = table.ranges[i];
        const bool same = !left.owner.empty() && left.owner == right.owner &&
                          left.owner_lifetime == right.owner_lifetime && !left.moving &&
                          !right.moving;
        if (!same) {
            continue;
        }
        if (!out.empty() && out.back().last == left.keys.last) {
            out.back().last = right.keys.last;
        }
        else {
            out.push_back({.first = left.keys.first, .last = right.keys.last});
        }
    }
    return out;
}

std::vector<key_span> idle_ranges_to_move(const key_table& table,
                                          const std::vector<key_server>& servers,
                                          const key_loads& loads, const key_plan_settings& settings)
{
    std::vector<key_span> out;
    const auto usual = settings.ranges_per_server * servers.size();
    if (table.ranges.size() <= usual || servers.empty()) {
        return out;
    }
    const auto idle = settings.idle_share / static_cast<double>(servers.size());
    // Every second one at most, so that each has a neighbour to go to.
    bool before_moves = true;
    for (const auto& range : table.ranges) {
        const bool moves = !before_moves && !range.moving && !range.owner.empty() &&
                           loads.share(range.keys) < idle;
        if (moves) {
            out.push_back(range.keys);
        }
        before_moves = moves || range.moving;
        if (out.size() >= settings.min_moves_per_round) {
            break;
        }
    }
    return out;
}

} // namespace figreach::direct
