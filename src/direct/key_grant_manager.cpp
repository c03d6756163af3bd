#include "figreach/direct/key_grant_manager.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace figreach::direct {

namespace {

constexpr std::int64_t whole_percent = 100;

const key_server* find_server(const std::vector<key_server>& servers, const backend_server_id& id)
{
    const auto found =
        std::lower_bound(servers.begin(), servers.end(), id,
                         [](const key_server& one, const auto& sought) { return one.id < sought; });
    return found != servers.end() && found->id == id ? &*found : nullptr;
}

/// Whether the entry is one of an earlier lifetime than the owner's, which a restored store may
/// hold for a while.
bool is_outdated(const key_server& entry, const key_range& range)
{
    return entry.lifetime < range.owner_lifetime;
}

/// Whether the owner runs again under its id.
bool has_restarted(const key_server& entry, const key_range& range)
{
    return entry.lifetime > range.owner_lifetime;
}

bool any_takes_keys(const std::vector<key_server>& servers)
{
    return std::any_of(servers.begin(), servers.end(),
                       [](const key_server& one) { return one.takes_keys; });
}

/// The first range that ends at `key` or later. A table has thousands of ranges.
template <class Ranges>
auto first_ending_from(Ranges& ranges, std::uint32_t key)
{
    return std::partition_point(ranges.begin(), ranges.end(),
                                [key](const key_range& one) { return one.keys.last < key; });
}

/// Splits the range that contains `key` so that one begins there.
void split_before(key_table& table, std::uint32_t key)
{
    const auto at = first_ending_from(table.ranges, key);
    if (at == table.ranges.end() || at->keys.first == key) {
        return;
    }
    auto before = *at;
    before.keys.last = key - 1;
    at->keys.first = key;
    table.ranges.insert(at, std::move(before));
}

/// Splits the ranges of a table at the ends of a span and changes those within it.
void change_ranges(key_table& table, const key_span& keys,
                   const std::function<void(key_range&)>& change)
{
    split_before(table, keys.first);
    split_before(table, keys.last + 1);
    for (auto at = first_ending_from(table.ranges, keys.first);
         at != table.ranges.end() && at->keys.first <= keys.last; ++at) {
        change(*at);
    }
}

/// Replaces all ranges within the span of one range, whose ends are range boundaries.
void replace_ranges(key_table& table, const key_range& by)
{
    const auto begin = first_ending_from(table.ranges, by.keys.first);
    const auto end = std::partition_point(begin, table.ranges.end(), [&by](const key_range& one) {
        return one.keys.first <= by.keys.last;
    });
    *begin = by;
    table.ranges.erase(std::next(begin), end);
}

} // namespace

grant_manager_settings for_fleet(grant_manager_settings settings, std::size_t hosts,
                                 milliseconds max_hold)
{
    const auto loss = settings.hold - settings.renew_interval;
    const auto usual = settings.renew_interval;
    if (hosts >= settings.large_fleet) {
        settings.hold = settings.large_fleet_renew_interval + loss;
    }
    settings.hold = std::min(settings.hold, max_hold);
    settings.renew_interval = std::max(usual, settings.hold - loss);
    return settings;
}

key_grant_manager::key_grant_manager(grant_manager_settings settings_, key_table current_,
                                     monotonic_time former_orders_end, monotonic_time now)
    : settings{settings_}, current{std::move(current_)}
{
    for (const auto& range : this->current.ranges) {
        // An order of an earlier leader about a move may still be in flight.
        this->states[range.keys.first] = {.former_until = former_orders_end,
                                          .next_order = now,
                                          .needs_fence = range.moving && !range.owner.empty()};
    }
}

grant_manager_actions key_grant_manager::on_tick(const std::vector<key_server>& servers,
                                                 const observed_loads& loads, monotonic_time now)
{
    grant_manager_actions out;
    this->claimed.clear();
    for (const auto& one : servers) {
        if (one.address_claimed) {
            this->claimed[one.id] = one.lifetime;
        }
    }
    for (const auto& range : this->current.ranges) {
        this->send_due_order(range, this->states[range.keys.first], servers, out, now);
    }
    if (!this->pending_write && now >= this->next_plan) {
        this->next_plan = now + this->settings.plan_interval_per_range *
                                    static_cast<std::int64_t>(this->current.ranges.size());
        this->pending_write = this->next_table(servers, loads, now);
        if (this->pending_write) {
            out.push_back(write_table{*this->pending_write});
        }
    }
    return out;
}

bool key_grant_manager::is_replaced(const backend_server_id& id, std::uint64_t lifetime) const
{
    const auto found = this->replaced.find(id);
    return found != this->replaced.end() && found->second == lifetime;
}

/// Whether the process that was granted the keys is known to have ended, and no later one with its
/// id holds them. Orders name the id only, so the next life may have taken a grant meant for it.
bool key_grant_manager::has_ended(const key_range& range, const key_server* owner,
                                  monotonic_time now) const
{
    if (this->is_replaced(range.owner, range.owner_lifetime)) {
        return true;
    }
    if (owner == nullptr || is_outdated(*owner, range)) {
        return false;
    }
    const auto& state = this->states.at(range.keys.first);
    return has_restarted(*owner, range) && this->is_settled(range) &&
           now >= state.latest_hold_end();
}

/// Sends the next order about one range if it is due.
void key_grant_manager::send_due_order(const key_range& range, range_state& state,
                                       const std::vector<key_server>& servers,
                                       grant_manager_actions& out, monotonic_time now)
{
    const bool in_flight = state.call || !state.in_flight_grants.empty();
    if (range.owner.empty() || state.released || in_flight || now < state.next_order) {
        return;
    }
    const auto* owner = find_server(servers, range.owner);
    if (this->has_ended(range, owner, now)) {
        state.released = true;
        return;
    }
    const bool differs = owner == nullptr || owner->lifetime != range.owner_lifetime;
    if (differs || state.needs_fence) {
        return;
    }
    if (range.moving && state.granted) {
        this->release(range, state, *owner, out, now);
        return;
    }
    const auto& server = this->server_states[owner->id];
    const bool may_grant = !range.moving || now >= this->former_leases_end;
    if (may_grant && !server.grant_open && now >= server.next_try) {
        this->grant(range, state, *owner, out, now);
    }
}

void key_grant_manager::grant(const key_range& range, range_state& state, const key_server& owner,
                              grant_manager_actions& out, monotonic_time now)
{
    const auto hold = range.moving ? this->hold_for_move(state, now) : this->settings.hold;
    if (hold < this->settings.margin) {
        return;
    }
    const auto call = this->next_call++;
    state.call = call;
    this->server_states[owner.id].grant_open = true;
    this->calls[call] = {.server = owner.id,
                         .lifetime = owner.lifetime,
                         .first = range.keys.first,
                         .fence = range.fence,
                         .hold = hold};
    // The token is only used when the owner first gets the keys; a renewal needs none.
    const bool is_first = !state.granted && !range.moving;
    out.push_back(send_order{.call = call,
                             .server = owner.id,
                             .address = owner.address,
                             .order = grant_keys{.keys = range.keys,
                                                 .fence = range.fence,
                                                 .hold = hold,
                                                 .handover = is_first ? range.handover : ""},
                             .timeout = this->settings.order_timeout});
}

/// The grant that delivers the fence of a move expires no later than the grants before it, so that
/// the wait for an owner that does not answer is not extended.
milliseconds key_grant_manager::hold_for_move(const range_state& state, monotonic_time now) const
{
    const auto left = std::chrono::floor<milliseconds>(state.latest_hold_end() - now);
    const auto usable = left - this->settings.order_timeout - this->settings.margin;
    return std::min(this->settings.hold,
                    usable * whole_percent / (whole_percent + this->settings.clock_drift_percent));
}

void key_grant_manager::release(const key_range& range, range_state& state, const key_server& owner,
                                grant_manager_actions& out, monotonic_time)
{
    const auto call = this->next_call++;
    state.call = call;
    this->calls[call] = {.server = owner.id,
                         .lifetime = owner.lifetime,
                         .first = range.keys.first,
                         .fence = range.fence,
                         .hold = milliseconds{0}};
    out.push_back(send_order{.call = call,
                             .server = owner.id,
                             .address = owner.address,
                             .order = release_keys{.keys = range.keys, .fence = range.fence},
                             .timeout = this->settings.release_timeout});
}

/// Returns an upper bound of the time when a grant that arrives at `from` expires.
monotonic_time key_grant_manager::hold_end(milliseconds hold, monotonic_time from) const
{
    const auto longest =
        hold * (whole_percent + this->settings.clock_drift_percent) / whole_percent;
    return from + longest + this->settings.margin;
}

/// Whether no grant of the range is in flight. Until such a call has ended, it is not known when
/// the owner last received a grant.
bool key_grant_manager::is_settled(const key_range& range) const
{
    const auto& state = this->states.at(range.keys.first);
    return !this->has_open_grant(state) && state.in_flight_grants.empty();
}

bool key_grant_manager::has_open_grant(const range_state& state) const
{
    const auto pending = state.call ? this->calls.find(*state.call) : this->calls.end();
    return pending != this->calls.end() && pending->second.hold > milliseconds{0};
}

/// Adds the grants of a range that are in flight while another fence or range replaces it.
void key_grant_manager::add_in_flight(range_state& out, const range_state& former) const
{
    out.in_flight_grants.insert(former.in_flight_grants.begin(), former.in_flight_grants.end());
    if (this->has_open_grant(former)) {
        out.in_flight_grants.insert(*former.call);
    }
}

/// The owner may have accepted a grant with an earlier fence until the call ended.
void key_grant_manager::finish_in_flight(std::uint64_t call, const pending_call& pending,
                                         order_outcome outcome, monotonic_time now)
{
    if (this->in_flight_calls.erase(call) == 0) {
        return;
    }
    const bool may_hold = outcome == order_outcome::done || outcome == order_outcome::no_answer;
    for (auto& [first, state] : this->states) {
        if (state.in_flight_grants.erase(call) > 0 && may_hold) {
            state.held_until = std::max(state.held_until, this->hold_end(pending.hold, now));
        }
    }
}

bool key_grant_manager::all_settled(const key_span& keys) const
{
    for (auto at = first_ending_from(this->current.ranges, keys.first);
         at != this->current.ranges.end() && at->keys.first <= keys.last; ++at) {
        if (!this->is_settled(*at)) {
            return false;
        }
    }
    return true;
}

void key_grant_manager::continue_in_new_era(std::uint64_t first_fence)
{
    this->pending_write.reset();
    this->current.next_fence = std::max(this->current.next_fence, first_fence);
}

void key_grant_manager::limit_former_orders(monotonic_time end)
{
    for (auto& [first, state] : this->states) {
        state.former_until = std::min(state.former_until, end);
    }
}

void key_grant_manager::set_former_leases_end(monotonic_time end)
{
    this->former_leases_end = end;
}

void key_grant_manager::on_answer(std::uint64_t call, const order_answer& answer,
                                  monotonic_time now)
{
    const auto found = this->calls.find(call);
    if (found == this->calls.end()) {
        return;
    }
    const auto pending = found->second;
    this->calls.erase(found);
    this->update_server_state(pending, answer, now);
    this->finish_in_flight(call, pending, answer.outcome, now);
    if (this->shows_other_server(pending, answer.outcome)) {
        this->replaced[pending.server] = pending.lifetime;
    }
    const auto state = this->states.find(pending.first);
    if (state == this->states.end() || state->second.call != call) {
        return;
    }
    state->second.call.reset();
    const auto& range = range_of(this->current, pending.first);
    if (range.fence == pending.fence) {
        this->apply_answer(range, state->second, pending, answer, now);
    }
}

/// Whether the answer proves that the process at the address is not the server that was called. A
/// server that holds no keys rejects orders; alone that is no proof.
bool key_grant_manager::shows_other_server(const pending_call& call, order_outcome outcome) const
{
    if (outcome == order_outcome::rejected) {
        const auto found = this->claimed.find(call.server);
        return found != this->claimed.end() && found->second == call.lifetime;
    }
    return outcome == order_outcome::other_server;
}

/// Responsiveness is tracked per backend server, not per range.
void key_grant_manager::update_server_state(const pending_call& call, const order_answer& answer,
                                            monotonic_time now)
{
    auto& server = this->server_states[call.server];
    if (call.hold > milliseconds{0}) {
        server.grant_open = false;
    }
    if (answer.outcome == order_outcome::process_unknown) {
        server.next_try = now + this->settings.retry_interval;
        return;
    }
    // A server does not reject well-formed orders, but a server of another kind at its address
    // does.
    const bool answered = answer.outcome != order_outcome::not_sent &&
                          answer.outcome != order_outcome::no_answer &&
                          answer.outcome != order_outcome::rejected;
    if (answered) {
        server = {.grant_open = server.grant_open};
        return;
    }
    ++server.failures;
    server.next_try = now + this->settings.retry_interval;
    if (this->is_unresponsive(call.server)) {
        server.avoid_until = now + this->settings.avoid_unresponsive;
    }
}

void key_grant_manager::apply_answer(const key_range& range, range_state& state,
                                     const pending_call& call, const order_answer& answer,
                                     monotonic_time now)
{
    const bool is_release = call.hold == milliseconds{0};
    const auto held_until = this->hold_end(call.hold, now);
    state.next_order = now + this->settings.retry_interval;
    switch (answer.outcome) {
    case order_outcome::done:
        if (is_release) {
            state.released = true;
            state.handover = answer.handover;
            break;
        }
        // The owner may keep a longer grant that it got before this one.
        state.held_until = std::max(state.held_until, held_until);
        if (range.moving) {
            // An owner that has seen the fence of a move accepts no earlier grants, so grants of
            // earlier leaders end no later than one that arrives now. A later process of the owner
            // gets none from them, see order_client. This does not hold for a renewal, since an
            // earlier leader may renew the same grant after it.
            const auto longest = std::max(this->settings.hold, this->settings.longest_hold);
            const auto latest = this->hold_end(longest, now);
            state.held_until = std::max(state.held_until, std::min(state.former_until, latest));
            state.former_until = {};
        }
        state.granted = true;
        state.next_order = range.moving ? now : now + this->settings.renew_interval;
        break;
    case order_outcome::higher_fence_seen:
        state.needs_fence = true;
        break;
    case order_outcome::other_server:
        // An address from before the owner started again tells nothing about the owner.
        state.released = call.lifetime >= range.owner_lifetime;
        break;
    case order_outcome::not_sent:
    case order_outcome::process_unknown:
    case order_outcome::rejected:
        break;
    case order_outcome::no_answer:
        if (!is_release) {
            // It arrived before now or never, since its connection is closed.
            state.held_until = std::max(state.held_until, held_until);
            // The grant of a move may be executed after the release, unless its fence is too low.
            state.needs_fence = state.needs_fence || range.moving;
        }
        break;
    }
}

bool key_grant_manager::is_unresponsive(const backend_server_id& id) const
{
    const auto found = this->server_states.find(id);
    return found != this->server_states.end() &&
           found->second.failures >= this->settings.unresponsive_after;
}

std::vector<key_server> key_grant_manager::exclude_unavailable(std::vector<key_server> servers,
                                                               monotonic_time now) const
{
    for (auto& one : servers) {
        const auto found = this->server_states.find(one.id);
        const bool avoided = found != this->server_states.end() && now < found->second.avoid_until;
        const bool ended = one.address_claimed || this->is_replaced(one.id, one.lifetime);
        one.takes_keys = one.takes_keys && !avoided && !ended;
    }
    return servers;
}

void key_grant_manager::on_written(monotonic_time now)
{
    if (!this->pending_write) {
        return;
    }
    std::map<std::uint32_t, range_state> next;
    for (const auto& range : this->pending_write->ranges) {
        next[range.keys.first] = this->carry_over_state(range, now);
    }
    this->states = std::move(next);
    this->in_flight_calls.clear();
    for (const auto& [first, state] : this->states) {
        this->in_flight_calls.insert(state.in_flight_grants.begin(), state.in_flight_grants.end());
    }
    this->current = std::move(*this->pending_write);
    this->pending_write.reset();
}

void key_grant_manager::on_not_written()
{
    this->pending_write.reset();
}

/// Derives the state of a range of the written table from the ranges that covered its keys before.
key_grant_manager::range_state key_grant_manager::carry_over_state(const key_range& range,
                                                                   monotonic_time now) const
{
    range_state out{.next_order = now};
    for (auto at = first_ending_from(this->current.ranges, range.keys.first);
         at != this->current.ranges.end() && at->keys.first <= range.keys.last; ++at) {
        const auto& former = *at;
        const auto& state = this->states.at(former.keys.first);
        // The next life of an owner may have taken what was meant for the one before.
        const bool same_holder = former.owner == range.owner;
        if (former.fence == range.fence && former.keys.first == range.keys.first) {
            return state;
        }
        if (former.fence == range.fence) {
            out = state;
            out.call.reset();
            this->add_in_flight(out, state);
            return out;
        }
        if (same_holder) {
            this->add_in_flight(out, state);
            out.held_until = std::max(out.held_until, state.held_until);
            out.former_until = std::max(out.former_until, state.former_until);
        }
    }
    return out;
}

std::optional<key_table> key_grant_manager::next_table(const std::vector<key_server>& all,
                                                       const observed_loads& loads,
                                                       monotonic_time now)
{
    const auto servers = this->exclude_unavailable(all, now);
    if (!any_takes_keys(servers)) {
        return std::nullopt;
    }
    auto draft = this->current;
    this->place_free_keys(draft, servers, loads, now);
    this->renew_fences(draft);
    this->adopt_restarted(draft, servers);
    this->move_from_unavailable(draft, servers);
    if (draft == this->current) {
        this->balance(draft, servers, loads, now);
    }
    if (draft == this->current) {
        return std::nullopt;
    }
    this->drop_used_tokens(draft);
    return draft;
}

/// Returns the state of the range of the current table with the same first key and fence as a range
/// of the draft, or null if there is none.
const key_grant_manager::range_state*
key_grant_manager::state_of_unchanged(const key_range& range) const
{
    const auto found = this->states.find(range.keys.first);
    const bool same = found != this->states.end() &&
                      range_of(this->current, range.keys.first).fence == range.fence;
    return same ? &found->second : nullptr;
}

/// Clears the tokens of owners that accepted their grant and so no longer need them.
void key_grant_manager::drop_used_tokens(key_table& draft) const
{
    for (auto& range : draft.ranges) {
        const auto* state = this->state_of_unchanged(range);
        if (state != nullptr && state->granted) {
            range.handover.clear();
        }
    }
}

/// Returns the ranges that no backend server can hold any more.
std::vector<unowned_keys> key_grant_manager::free_ranges(const std::vector<key_server>& servers,
                                                         monotonic_time now) const
{
    std::vector<unowned_keys> out;
    for (const auto& range : this->current.ranges) {
        const auto& state = this->states.at(range.keys.first);
        const bool ended =
            state.released || this->has_ended(range, find_server(servers, range.owner), now);
        const bool expired =
            range.moving && this->is_settled(range) && now >= state.latest_hold_end();
        const bool unowned = range.owner.empty() && !range.moving;
        if (unowned || ended || expired) {
            out.push_back({.keys = range.keys, .handover = state.handover});
        }
    }
    return out;
}

/// Whether more ranges are moving than are free.
bool key_grant_manager::more_keys_pending(std::size_t free) const
{
    const auto moving = std::count_if(this->current.ranges.begin(), this->current.ranges.end(),
                                      [](const key_range& one) { return one.moving; });
    return static_cast<std::size_t>(moving) > free;
}

void key_grant_manager::place_free_keys(key_table& draft, const std::vector<key_server>& servers,
                                        const observed_loads& loads, monotonic_time now)
{
    const auto free = this->free_ranges(servers, now);
    if (free.empty()) {
        this->free_since.reset();
        return;
    }
    this->free_since = this->free_since.value_or(now);
    if (this->more_keys_pending(free.size()) &&
        now < *this->free_since + this->settings.placement_delay) {
        return;
    }
    this->free_since.reset();
    for (const auto& one : place_keys(free, draft, servers, loads.recent, this->settings.plan)) {
        change_ranges(draft, one.keys, [&one, &draft](key_range& range) {
            range = {.keys = range.keys,
                     .owner = one.owner,
                     .owner_lifetime = one.owner_lifetime,
                     .fence = draft.next_fence++,
                     .moving = false,
                     .handover = one.handover};
        });
    }
}

/// Assigns a new highest fence to each range whose fence may be too low or not the last one.
void key_grant_manager::renew_fences(key_table& draft) const
{
    for (auto& range : draft.ranges) {
        const auto* state = this->state_of_unchanged(range);
        if (state != nullptr && state->needs_fence) {
            range.fence = draft.next_fence++;
        }
    }
}

/// Gives the keys of owners that run again under their ids to the new processes, which may hold
/// them already. A move that had begun goes on with the new process.
void key_grant_manager::adopt_restarted(key_table& draft,
                                        const std::vector<key_server>& servers) const
{
    for (auto& range : draft.ranges) {
        const auto* owner = find_server(servers, range.owner);
        const bool restarted = owner != nullptr && has_restarted(*owner, range);
        if (restarted && this->state_of_unchanged(range) != nullptr) {
            range.owner_lifetime = owner->lifetime;
            range.fence = draft.next_fence++;
            range.handover.clear();
        }
    }
}

/// Moves keys away from servers that leave, have ended, are out of service or do not answer.
void key_grant_manager::move_from_unavailable(key_table& draft,
                                              const std::vector<key_server>& servers) const
{
    for (auto& range : draft.ranges) {
        const bool same = range_of(this->current, range.keys.first).fence == range.fence;
        if (range.owner.empty() || range.moving || !same || !this->is_settled(range)) {
            continue;
        }
        const auto* owner = find_server(servers, range.owner);
        if (owner == nullptr || !owner->takes_keys || is_outdated(*owner, range) ||
            this->is_unresponsive(range.owner)) {
            range.moving = true;
            range.fence = draft.next_fence++;
        }
    }
}

void key_grant_manager::balance(key_table& draft, const std::vector<key_server>& servers,
                                const observed_loads& loads, monotonic_time now)
{
    if (now < this->next_balance) {
        return;
    }
    this->next_balance = now + this->settings.rebalance_interval;
    const auto& plan = this->settings.plan;
    auto moves = keys_to_move(draft, servers, loads.recent, plan);
    if (moves.empty()) {
        moves = keys_to_move(draft, servers, loads.usual, plan);
    }
    if (moves.empty()) {
        moves = idle_ranges_to_move(draft, servers, loads.usual, plan);
    }
    for (const auto& keys : moves) {
        if (!this->all_settled(keys)) {
            continue;
        }
        change_ranges(draft, keys, [&draft](key_range& range) {
            range.moving = true;
            range.fence = draft.next_fence++;
        });
    }
    for (const auto& keys : ranges_to_join(draft, servers, plan)) {
        if (!this->all_settled(keys)) {
            continue;
        }
        auto one = range_of(draft, keys.first);
        one.keys = keys;
        one.fence = draft.next_fence++;
        one.handover.clear();
        replace_ranges(draft, one);
    }
}

const key_table& key_grant_manager::table() const
{
    return this->current;
}

bool key_grant_manager::writing() const
{
    return this->pending_write.has_value();
}

} // namespace figreach::direct
