#include "figreach/assignment_steps.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "figreach/routing.h"

namespace figreach {

namespace {

/// Share of its fair load up to which a server without slices is filled in one plan.
constexpr double fill_threshold = 0.97;

/// Width of the whole hash space.
constexpr double whole_space = 1.0;

bool is_moving(const slice& one)
{
    return one.moving_to.has_value();
}

/// Returns whether a slice of a server may be moved for load.
bool is_movable(const assignment_draft& draft, std::size_t index, std::uint32_t server)
{
    const auto& one = draft.document().slices[index];
    return one.owner == server && !is_moving(one) && !one.pinned;
}

/// Ensures that a slice begins at `at`, splitting if needed, and returns its index.
std::size_t begin_slice_at(assignment_draft& draft, key_hash at)
{
    const auto index = slice_index(draft.document(), at);
    if (draft.document().slices[index].first == at) {
        return index;
    }
    draft.split(index, at);
    return index + 1;
}

std::optional<std::uint32_t> listed_index(const assignment_draft& draft,
                                          const backend_server_id& name)
{
    const auto& names = draft.document().backend_servers;
    const auto found = std::ranges::find(names, name);
    if (found == names.end()) {
        return std::nullopt;
    }
    return static_cast<std::uint32_t>(found - names.begin());
}

/// Returns the hashes of the pinned keys of a partition with their servers.
std::map<key_hash, backend_server_id> pins_of(const service& described, const partition_id& id)
{
    std::map<key_hash, backend_server_id> out;
    for (const auto& pin : described.pins) {
        const auto hash = hash_key(pin.key);
        if (partition_of(described, hash) == id) {
            out[hash] = pin.server;
        }
    }
    return out;
}

void apply_pin(assignment_draft& draft, key_hash hash, const backend_server_id& server)
{
    const auto holder = slice_index(draft.document(), hash);
    if (is_moving(draft.document().slices[holder])) {
        return;
    }
    const auto index = begin_slice_at(draft, hash);
    if (last_hash(draft.document(), index) != hash) {
        draft.split(index, hash + 1);
    }
    draft.set_pinned(index, true);
    const auto target = listed_index(draft, server);
    const bool misplaced = target && draft.document().slices[index].owner != *target;
    if (misplaced && draft.may_receive(*target)) {
        draft.move(index, *target);
    }
}

void remove_old_pins(assignment_draft& draft, const std::map<key_hash, backend_server_id>& pins)
{
    for (std::size_t i = 0; i < draft.document().slices.size(); ++i) {
        const auto& one = draft.document().slices[i];
        if (one.pinned && !pins.contains(one.first)) {
            draft.set_pinned(i, false);
        }
    }
}

/// Sorts slice indices by descending load.
void sort_by_load_descending(const assignment_draft& draft, std::vector<std::size_t>& indices)
{
    std::ranges::stable_sort(indices, std::greater{},
                             [&draft](std::size_t i) { return draft.shares(i).load; });
}

/// Moves each slice to its best target, hottest first.
void assign_targets(assignment_draft& draft, std::vector<std::size_t> indices)
{
    sort_by_load_descending(draft, indices);
    for (const auto index : indices) {
        if (const auto target = draft.best_target(draft.shares(index).load)) {
            draft.move(index, *target);
        }
    }
}

/// Whether slices whose load is only an estimate may be chosen.
enum class unsettled_slices : std::uint8_t { excluded, included };

/// Returns the hottest movable slice of a server within the bounds on load and width.
std::optional<std::size_t> hottest_fitting_slice(const assignment_draft& draft,
                                                 std::uint32_t server, double max_load,
                                                 double max_width, unsettled_slices unsettled)
{
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < draft.document().slices.size(); ++i) {
        const auto& part = draft.shares(i);
        const bool known = part.settled || unsettled == unsettled_slices::included;
        const bool fits = known && is_movable(draft, i, server) && part.load <= max_load &&
                          part.width <= max_width;
        if (fits && (!best || part.load > draft.shares(*best).load)) {
            best = i;
        }
    }
    return best;
}

/// Returns the divisible movable slice of a server with the least load per width.
std::optional<std::size_t> least_dense_slice(const assignment_draft& draft, std::uint32_t server)
{
    std::optional<std::size_t> best;
    const auto density = [&draft](std::size_t i) {
        return draft.shares(i).load / draft.shares(i).width;
    };
    for (std::size_t i = 0; i < draft.document().slices.size(); ++i) {
        const bool can_split = last_hash(draft.document(), i) > draft.document().slices[i].first;
        if (is_movable(draft, i, server) && can_split && (!best || density(i) < density(*best))) {
            best = i;
        }
    }
    return best;
}

/// Returns the hash at the given fraction of a slice, clamped to a valid split point.
key_hash hash_inside(const assignment_draft& draft, std::size_t index, double share)
{
    const auto first = draft.document().slices[index].first;
    const auto last = last_hash(draft.document(), index);
    const auto offset = static_cast<key_hash>(static_cast<double>(last - first) * share);
    return std::clamp(first + offset, first + 1, last);
}

/// Moves a slice, or part of one, from a server to a new server. Returns false if there is none to
/// move.
bool give_to_new_server(assignment_draft& draft, std::uint32_t from, std::uint32_t to,
                        double width_left)
{
    const auto load_left = draft.fair_load(to) - draft.servers()[to].load;
    if (const auto index =
            hottest_fitting_slice(draft, from, load_left, width_left, unsettled_slices::included)) {
        draft.move(*index, to);
        return true;
    }
    const auto index = least_dense_slice(draft, from);
    if (!index) {
        return false;
    }
    const auto& part = draft.shares(*index);
    const auto share = std::min({load_left / part.load, width_left / part.width, 1.0});
    draft.split(*index, hash_inside(draft, *index, share));
    draft.move(*index, to);
    return true;
}

/// Returns the most loaded server that may receive slices and is not in `without`.
std::optional<std::uint32_t> most_loaded_donor(const assignment_draft& draft,
                                               const std::set<std::uint32_t>& without)
{
    std::optional<std::uint32_t> best;
    for (std::uint32_t i = 0; i < draft.servers().size(); ++i) {
        const bool may_give = draft.may_receive(i) && !without.contains(i);
        if (may_give && (!best || draft.relative_load(i) > draft.relative_load(*best))) {
            best = i;
        }
    }
    return best;
}

void fill_new_server(assignment_draft& draft, std::uint32_t server)
{
    const auto fair = draft.fair_load(server);
    std::set<std::uint32_t> exhausted{server};
    const auto least_step = fair * (1.0 - fill_threshold);
    while (draft.servers()[server].load < fair * fill_threshold) {
        const auto width_left = fair - draft.servers()[server].width;
        const auto donor = most_loaded_donor(draft, exhausted);
        if (width_left < least_step || !donor || draft.relative_load(*donor) <= 1.0) {
            return;
        }
        if (!give_to_new_server(draft, *donor, server, width_left)) {
            exhausted.insert(*donor);
        }
    }
}

struct load_move {
    std::size_t slice = 0;
    std::uint32_t to = 0;
};

/// Returns the hottest slice within `max_width` whose move to the least loaded server relieves
/// `from` without lifting the target above `goal`.
std::optional<load_move> find_load_move(const assignment_draft& draft, std::uint32_t from,
                                        double goal, double max_width)
{
    const auto to = draft.least_loaded();
    if (!to || *to == from) {
        return std::nullopt;
    }
    const auto excess = draft.servers()[from].load - draft.fair_load(from);
    const auto spare_load = draft.fair_load(*to) * goal - draft.servers()[*to].load;
    const auto index = hottest_fitting_slice(draft, from, std::min(excess, spare_load), max_width,
                                             unsettled_slices::excluded);
    if (!index) {
        return std::nullopt;
    }
    return load_move{.slice = *index, .to = *to};
}

/// Returns the least loaded server that may receive slices, excluding two servers.
std::optional<std::uint32_t> least_loaded_other(const assignment_draft& draft, std::uint32_t one,
                                                std::uint32_t another)
{
    std::optional<std::uint32_t> best;
    for (std::uint32_t i = 0; i < draft.servers().size(); ++i) {
        const bool suits = draft.may_receive(i) && i != one && i != another;
        if (suits && (!best || draft.relative_load(i) < draft.relative_load(*best))) {
            best = i;
        }
    }
    return best;
}

/// Moves the hottest slice of an overloaded server to the least loaded server after moving colder
/// slices off the latter. Returns the moved width, or nothing if the slice does not fit.
std::optional<double> exchange_load(assignment_draft& draft, std::uint32_t from, double goal,
                                    double churn)
{
    const auto to = draft.least_loaded();
    const auto hot = hottest_fitting_slice(draft, from, draft.fair_load(from), churn,
                                           unsettled_slices::excluded);
    if (!to || *to == from || !hot) {
        return std::nullopt;
    }
    auto changed = draft;
    const auto hot_load = draft.shares(*hot).load;
    const auto max_remaining = draft.fair_load(*to) * goal - hot_load;
    double moved = draft.shares(*hot).width;
    while (changed.servers()[*to].load > max_remaining) {
        const auto cold = hottest_fitting_slice(changed, *to, hot_load / 2, churn - moved,
                                                unsettled_slices::excluded);
        const auto target = least_loaded_other(changed, *to, from);
        if (!cold || !target) {
            return std::nullopt;
        }
        moved += changed.shares(*cold).width;
        changed.move(*cold, *target);
    }
    changed.move(*hot, *to);
    if (changed.relative_load(*changed.most_loaded()) >= draft.relative_load(from)) {
        return std::nullopt;
    }
    draft = std::move(changed);
    return moved;
}

/// Returns the hottest measured slice of a server that can be split and is not dominated by one
/// key.
std::optional<std::size_t> slice_to_split(const assignment_draft& draft, std::uint32_t server)
{
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < draft.document().slices.size(); ++i) {
        const auto& part = draft.shares(i);
        const bool can_split = last_hash(draft.document(), i) > draft.document().slices[i].first;
        const bool suits =
            is_movable(draft, i, server) && part.measured && !part.single_key && can_split;
        if (suits && (!best || part.load > draft.shares(*best).load)) {
            best = i;
        }
    }
    return best;
}

void split_evenly(assignment_draft& draft, std::size_t index, std::uint32_t parts)
{
    const auto first = draft.document().slices[index].first;
    const auto last = last_hash(draft.document(), index);
    const auto step = std::max<key_hash>((last - first) / parts + 1, 1);
    for (std::uint32_t part = 1; part < parts && last - first >= step * part; ++part) {
        draft.split(index + part - 1, first + step * part);
    }
}

/// Splits the hottest slice of a server if its load exceeds the server's excess load.
bool split_hottest(assignment_draft& draft, std::uint32_t server, const assigner_settings& settings,
                   std::size_t described_slices)
{
    const auto max_slices = static_cast<double>(described_slices) * settings.split_limit_factor;
    const auto excess = draft.servers()[server].load - draft.fair_load(server);
    const auto index = slice_to_split(draft, server);
    const bool has_room = static_cast<double>(draft.document().slices.size()) < max_slices;
    const bool splits = has_room && index && draft.shares(*index).load > excess;
    if (splits) {
        split_evenly(draft, *index, settings.split_parts);
    }
    return splits;
}

bool is_balanced(const assignment_draft& draft, std::uint32_t most_loaded, double upper_bound,
                 double lower_bound)
{
    const auto least_loaded = draft.least_loaded();
    return draft.relative_load(most_loaded) <= upper_bound &&
           draft.relative_load(*least_loaded) >= lower_bound;
}

bool may_merge(const assignment_draft& draft, std::size_t index, double max_load)
{
    const auto& left = draft.document().slices[index];
    const auto& right = draft.document().slices[index + 1];
    const bool at_rest = !is_moving(left) && !is_moving(right) && !left.pinned && !right.pinned;
    const bool measured = draft.shares(index).measured && draft.shares(index + 1).measured;
    const bool cold = draft.shares(index).load + draft.shares(index + 1).load <= max_load;
    return at_rest && left.owner == right.owner && left.fence == right.fence && measured && cold;
}

} // namespace

void apply_pins(assignment_draft& draft, const service& described)
{
    const auto pins = pins_of(described, draft.document().id);
    remove_old_pins(draft, pins);
    for (const auto& [hash, server] : pins) {
        apply_pin(draft, hash, server);
    }
}

void redirect_moves(assignment_draft& draft)
{
    std::vector<std::size_t> indices;
    for (std::size_t i = 0; i < draft.document().slices.size(); ++i) {
        if (is_moving(draft.document().slices[i]) && !draft.may_receive(draft.destination(i))) {
            indices.push_back(i);
        }
    }
    assign_targets(draft, std::move(indices));
}

void evacuate(assignment_draft& draft)
{
    std::vector<std::size_t> indices;
    for (std::size_t i = 0; i < draft.document().slices.size(); ++i) {
        const auto& one = draft.document().slices[i];
        if (!is_moving(one) && !draft.may_receive(one.owner)) {
            indices.push_back(i);
        }
    }
    assign_targets(draft, std::move(indices));
}

void fill_new_servers(assignment_draft& draft)
{
    for (std::uint32_t i = 0; i < draft.servers().size(); ++i) {
        if (draft.may_receive(i) && draft.servers()[i].slices == 0) {
            fill_new_server(draft, i);
        }
    }
}

double balance(assignment_draft& draft, const assigner_settings& settings, double churn,
               std::size_t described_slices)
{
    if (is_balanced(draft, *draft.most_loaded(), settings.max_imbalance,
                    settings.min_relative_load)) {
        return 0.0;
    }
    double moved = 0.0;
    std::set<std::uint32_t> unrelieved;
    for (std::size_t i = 0; i < settings.max_moves; ++i) {
        const auto from = most_loaded_donor(draft, unrelieved);
        if (!from || draft.relative_load(*from) <= settings.target_imbalance) {
            break;
        }
        const auto goal = settings.target_imbalance;
        if (const auto next = find_load_move(draft, *from, goal, churn - moved)) {
            draft.move(next->slice, next->to);
            moved += draft.shares(next->slice).width;
            continue;
        }
        const bool waits_for_budget = find_load_move(draft, *from, goal, whole_space).has_value();
        if (!waits_for_budget && !split_hottest(draft, *from, settings, described_slices)) {
            moved += exchange_load(draft, *from, goal, churn - moved).value_or(0.0);
        }
        unrelieved.insert(*from);
    }
    return moved;
}

void merge_cold_slices(assignment_draft& draft, const assigner_settings& settings,
                       std::size_t described_slices)
{
    const auto merge_limit = static_cast<double>(described_slices) * settings.merge_limit_factor;
    const auto max_load = settings.cold_load_factor / static_cast<double>(described_slices);
    std::size_t index = draft.document().slices.size();
    while (index > 1 && static_cast<double>(draft.document().slices.size()) > merge_limit) {
        index = std::min(index, draft.document().slices.size()) - 1;
        if (index > 0 && may_merge(draft, index - 1, max_load)) {
            draft.merge_with_next(index - 1);
        }
    }
}

void drop_removed_servers(assignment_draft& draft, const description& all,
                          const service_id& service)
{
    for (auto i = static_cast<std::uint32_t>(draft.servers().size()); i > 0; --i) {
        const auto place = i - 1;
        const auto* server = find_server(all, draft.servers()[place].name);
        const bool described = server != nullptr && server->service == service;
        const auto refers = [place](const slice& one) {
            return one.owner == place || one.moving_to == place;
        };
        if (!described && std::ranges::none_of(draft.document().slices, refers)) {
            draft.remove_server(place);
        }
    }
}

} // namespace figreach
