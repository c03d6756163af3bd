#include "figreach/direct/key_plan.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <utility>

namespace figreach::direct {

namespace {

struct planned_server {
    const key_server* server = nullptr;
    double load = 0.0; ///< fraction of all requests
    double cost = 0.0; ///< of one more request
};

struct is_cheaper {
    bool operator()(const planned_server* left, const planned_server* right) const
    {
        return std::tie(left->cost, left->server->id) < std::tie(right->cost, right->server->id);
    }
};

/// Planned load and marginal cost of each server that takes keys.
class load_plan {
public:
    load_plan(const key_table& table, const std::vector<key_server>& servers,
              const key_loads& loads, const key_plan_settings& settings)
    {
        for (const auto& server : servers) {
            if (server.takes_keys) {
                this->servers_by_id[server.id] = {.server = &server, .load = 0.0};
                this->capacity += server.queue.capacity();
            }
        }
        this->min_load =
            this->servers_by_id.empty() ? 0.0 : settings.min_share * this->equal_share();
        this->rate = std::max(loads.rate(), settings.min_utilization * this->capacity);
        for (const auto& range : table.ranges) {
            auto* owner = this->find(range.owner);
            if (owner != nullptr && !range.moving &&
                owner->server->lifetime == range.owner_lifetime) {
                owner->load += loads.share(range.keys);
            }
        }
        for (auto& [id, one] : this->servers_by_id) {
            one.cost = this->order_cost(one, 0.0);
            this->by_cost.insert(&one);
        }
    }
    load_plan(const load_plan&) = delete;
    load_plan& operator=(const load_plan&) = delete;

    [[nodiscard]] std::size_t size() const { return this->servers_by_id.size(); }
    [[nodiscard]] double equal_share() const { return 1.0 / static_cast<double>(this->size()); }

    /// Returns null if the server takes no keys.
    [[nodiscard]] planned_server* find(const backend_server_id& id)
    {
        const auto found = this->servers_by_id.find(id);
        return found != this->servers_by_id.end() ? &found->second : nullptr;
    }

    /// Fraction of the capacity of all servers.
    [[nodiscard]] double capacity_share(const planned_server& one) const
    {
        return one.server->queue.capacity() / this->capacity;
    }

    [[nodiscard]] double cost(const planned_server& one, double more = 0.0) const
    {
        return one.server->queue.marginal_cost((one.load + more) * this->rate);
    }

    void add_load(planned_server& one, double load)
    {
        this->by_cost.erase(&one);
        one.load += load;
        one.cost = this->order_cost(one, 0.0);
        this->by_cost.insert(&one);
    }

    /// Returns the server where a piece costs least, among those where one more request costs
    /// least: a large fleet places thousands of pieces at once. The cost of a server with hardly
    /// any load is 0.
    [[nodiscard]] planned_server& cheapest(double piece)
    {
        constexpr std::size_t max_compared = 16;
        planned_server* out = nullptr;
        double lowest = 0.0;
        std::size_t compared = 0;
        for (auto* one : this->by_cost) {
            const auto cost = this->order_cost(*one, piece);
            if (out == nullptr || cost < lowest) {
                out = one;
                lowest = cost;
            }
            if (++compared == max_compared) {
                break;
            }
        }
        return *out;
    }

    [[nodiscard]] std::vector<planned_server*> all()
    {
        std::vector<planned_server*> out;
        for (auto& [id, one] : this->servers_by_id) {
            out.push_back(&one);
        }
        return out;
    }

private:
    [[nodiscard]] double order_cost(const planned_server& one, double piece) const
    {
        return one.load < this->min_load / 2 ? 0.0 : this->cost(one, piece);
    }

    std::map<backend_server_id, planned_server> servers_by_id;
    std::set<planned_server*, is_cheaper> by_cost;
    double rate = 0.0;
    double min_load = 0.0;
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

/// Splits a span into chunks of at most `max_load` load or of a single key.
std::vector<key_chunk> split_span(const key_span& keys, const key_loads& loads, double max_load)
{
    std::vector<key_chunk> out;
    key_chunk current{.keys = {.first = keys.first, .last = keys.first}};
    for (auto key = keys.first; key <= keys.last; ++key) {
        const auto load = loads.share({.first = key, .last = key});
        if (key != current.keys.first && current.load + load > max_load) {
            out.push_back(current);
            current = {.keys = {.first = key, .last = key}, .load = load};
        }
        else {
            current.keys.last = key;
            current.load += load;
        }
    }
    out.push_back(current);
    return out;
}

std::vector<key_chunk> split_ranges_of(const key_table& table, const key_server& server,
                                       const key_loads& loads, double max_load)
{
    std::vector<key_chunk> out;
    for (const auto& range : table.ranges) {
        if (range.owner == server.id && !range.moving) {
            const auto pieces = split_span(range.keys, loads, max_load);
            out.insert(out.end(), pieces.begin(), pieces.end());
        }
    }
    std::sort(out.begin(), out.end(), [](const key_chunk& left, const key_chunk& right) {
        return left.density() > right.density();
    });
    return out;
}

/// Merges adjacent spans.
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

/// Returns the owner of the range that ends right before these keys, unless the range is moving.
backend_server_id owner_before(const key_table& table, const key_span& keys)
{
    if (keys.first == 0) {
        return {};
    }
    const auto& range = range_of(table, keys.first - 1);
    return range.moving ? backend_server_id{} : range.owner;
}

/// Returns the load of a server minus the given number of standard deviations of its request count.
double load_lower_bound(double load, const key_loads& loads, double deviations)
{
    const auto requests = std::max(1.0, loads.requests());
    return std::max(0.0, load - deviations * std::sqrt(load / requests));
}

/// Selects pieces to move away from one server until its cost is close to that of the others.
void move_from(planned_server& source, load_plan& plan, const std::vector<key_chunk>& pieces,
               const key_loads& loads, const key_plan_settings& settings, std::size_t max_moves,
               std::vector<key_span>& out)
{
    for (const auto& piece : pieces) {
        if (out.size() >= max_moves) {
            return;
        }
        auto lower_bound = source;
        lower_bound.load = load_lower_bound(source.load, loads, settings.noise_deviations);
        auto& target = plan.cheapest(piece.load);
        const bool keeps_little =
            source.load - piece.load < settings.min_share * plan.equal_share();
        const bool gains =
            plan.cost(target, piece.load) < settings.max_cost_ratio * plan.cost(lower_bound);
        if (&target == &source || keeps_little || !gains) {
            continue;
        }
        plan.add_load(source, -piece.load);
        plan.add_load(target, piece.load);
        out.push_back(piece.keys);
    }
}

/// Pieces that loaded servers can give to servers that have hardly any load.
class spare_pieces {
public:
    spare_pieces(load_plan& plan_, const key_table& table_, const key_loads& loads_,
                 double min_load_)
        : plan{plan_}, table{table_}, loads{loads_}, min_load{min_load_}
    {
        for (auto* one : this->plan.all()) {
            this->sources.emplace(one->load, one);
        }
    }

    /// Takes a piece of the most loaded server that has one left. It is neither one of its hottest
    /// keys nor of its coldest, and no other call returns any of its keys.
    std::optional<key_chunk> take()
    {
        while (!this->sources.empty()) {
            const auto at = std::prev(this->sources.end());
            auto* source = at->second;
            this->sources.erase(at);
            auto& pieces = this->pieces_of(*source);
            if (pieces.size() < 2 || source->load < 4 * this->min_load) {
                continue;
            }
            const auto middle = pieces.begin() + static_cast<std::ptrdiff_t>(pieces.size() / 2);
            const auto out = *middle;
            pieces.erase(middle);
            this->plan.add_load(*source, -out.load);
            this->sources.emplace(source->load, source);
            return out;
        }
        return std::nullopt;
    }

private:
    /// A piece with less than half of the load would leave its new owner as idle as it was.
    std::vector<key_chunk>& pieces_of(const planned_server& source)
    {
        const auto [found, is_new] = this->pieces_left.try_emplace(source.server->id);
        if (is_new) {
            found->second =
                split_ranges_of(this->table, *source.server, this->loads, 2 * this->min_load);
            std::erase_if(found->second,
                          [this](const key_chunk& one) { return one.load < this->min_load / 2; });
        }
        return found->second;
    }

    load_plan& plan;
    const key_table& table;
    const key_loads& loads;
    double min_load;
    std::multimap<double, planned_server*> sources; ///< by load
    std::map<backend_server_id, std::vector<key_chunk>> pieces_left;
};

/// Selects pieces of loaded servers for servers that have hardly any load.
void fill_idle_servers(load_plan& plan, const key_table& table, const key_loads& loads,
                       const key_plan_settings& settings, std::vector<key_span>& out)
{
    const auto min_load = settings.min_share * plan.equal_share();
    spare_pieces spare{plan, table, loads, min_load};
    for (auto* one : plan.all()) {
        // Below this, requests are so rare that the server may not have received any.
        if (one->load > min_load / 2) {
            continue;
        }
        const auto piece = spare.take();
        if (!piece) {
            return;
        }
        plan.add_load(*one, piece->load);
        out.push_back(piece->keys);
    }
}

/// Whether a piece goes to the owner of the adjacent keys instead of the cheapest server. A piece
/// with hardly any load costs little anywhere, and its range ends if it goes there.
bool suits_neighbour(const key_chunk& piece, const planned_server& neighbour,
                     const planned_server& cheapest, const load_plan& plan,
                     const key_plan_settings& settings)
{
    if (piece.load < settings.idle_share * plan.equal_share()) {
        return true;
    }
    const auto max_cost = plan.cost(cheapest, piece.load) * settings.max_neighbour_cost_ratio;
    return plan.cost(neighbour, piece.load) < max_cost &&
           neighbour.load + piece.load <= plan.capacity_share(neighbour);
}

} // namespace

std::vector<key_span> keys_to_move(const key_table& table, const std::vector<key_server>& servers,
                                   const key_loads& loads, const key_plan_settings& settings)
{
    load_plan plan{table, servers, loads, settings};
    if (plan.size() < 2) {
        return {};
    }
    const auto max_moves = std::max(settings.min_moves_per_round, plan.size());
    const auto max_load = settings.max_chunk_share * plan.equal_share();
    auto sources = plan.all();
    std::sort(sources.begin(), sources.end(), [&plan](const auto* left, const auto* right) {
        return plan.cost(*left) > plan.cost(*right);
    });
    std::vector<key_span> out;
    for (auto* source : sources) {
        auto lower_bound = *source;
        lower_bound.load = load_lower_bound(source->load, loads, settings.noise_deviations);
        const auto& target = plan.cheapest(0.0);
        if (plan.cost(target) >= settings.max_cost_ratio * plan.cost(lower_bound)) {
            break;
        }
        move_from(*source, plan, split_ranges_of(table, *source->server, loads, max_load), loads,
                  settings, max_moves, out);
    }
    fill_idle_servers(plan, table, loads, settings, out);
    return merge_adjacent(std::move(out));
}

std::vector<key_placement> place_keys(const std::vector<unowned_keys>& free, const key_table& table,
                                      const std::vector<key_server>& servers,
                                      const key_loads& loads, const key_plan_settings& settings)
{
    load_plan plan{table, servers, loads, settings};
    if (plan.size() == 0) {
        return {};
    }
    const auto max_load = settings.max_chunk_share * plan.equal_share();
    std::vector<key_placement> out;
    for (const auto& one : free) {
        auto adjacent_owner = owner_before(table, one.keys);
        for (const auto& piece : split_span(one.keys, loads, max_load)) {
            auto* target = &plan.cheapest(piece.load);
            auto* neighbour = plan.find(adjacent_owner);
            if (neighbour != nullptr &&
                suits_neighbour(piece, *neighbour, *target, plan, settings)) {
                target = neighbour;
            }
            plan.add_load(*target, piece.load);
            adjacent_owner = target->server->id;
            if (!out.empty() && out.back().keys.last + 1 == piece.keys.first &&
                out.back().owner == adjacent_owner && out.back().handover == one.handover) {
                out.back().keys.last = piece.keys.last;
                continue;
            }
            out.push_back({.keys = piece.keys,
                           .handover = one.handover,
                           .owner = adjacent_owner,
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
    std::set<backend_server_id> takers;
    for (const auto& server : servers) {
        if (server.takes_keys) {
            takers.insert(server.id);
        }
    }
    // At most every second range, so that each one has a neighbour that stays.
    bool before_moves = true;
    for (const auto& range : table.ranges) {
        const auto target = owner_before(table, range.keys);
        // A range beside another one of its owner is joined with it, not moved.
        const bool moves = !before_moves && !range.moving && !range.owner.empty() &&
                           range.owner != target && loads.share(range.keys) < idle &&
                           takers.contains(target);
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
