#include "figreach/direct/runtime/store_feed.h"

#include <algorithm>
#include <exception>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "figreach/direct/follow_pace.h"
#include "figreach/direct/key_table_delta.h"
#include "figreach/direct/peer_choice.h"
#include "figreach/direct/stored_records.h"
#include "figreach/retry_budget.h"
#include "figreach/runtime/log.h"
#include "figreach/runtime/suspension_clock.h"
#include "items.h"

namespace figreach::direct {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

/// Short enough to detect a silently broken connection before the next change is expected.
constexpr milliseconds watch_wait{1500};
constexpr milliseconds watch_response_margin{700};
/// Followers rely on the leader's watch: if its connection breaks silently they get no changes for
/// the sum of both durations, and a leaving server must receive no requests 2 s after its report.
constexpr milliseconds leader_watch_wait{600};
constexpr milliseconds leader_watch_response_margin{400};
constexpr auto max_age = leader_watch_wait + leader_watch_response_margin;
constexpr milliseconds read_timeout{1000};
/// The leader asks again when an answer to a watch is this late, since it refuses polls once a part
/// has not been confirmed for leader_watch_wait and leader_watch_response_margin.
constexpr milliseconds leader_watch_overdue{150};
/// Versions of key tables that the answer to a watch may hold; with more of them the latest ones
/// are read instead.
constexpr std::size_t max_watched_tables = 2;
constexpr milliseconds confirm_timeout{200};
constexpr milliseconds confirm_check_interval{50};
/// Short enough for a new leader to ask before it refuses polls.
constexpr milliseconds follower_check_interval{200};
/// While the store is unreachable, the other parts wait this long for the one that probes it.
constexpr milliseconds part_wait{1000};
/// Added to the wait to allow for the network delay of an answer.
constexpr milliseconds follow_response_margin{250};
constexpr milliseconds follow_retry{100};
constexpr milliseconds probe_timeout{400};
/// Minimum interval between a host's probes, so that hosts without a leader do not overload the
/// store.
constexpr milliseconds probe_interval{600};
/// The last answer is relied on until the next one is overdue by this much.
constexpr milliseconds follow_overlap{100};
/// Once polls fail, for how long the last answer is relied on while other hosts are tried. Added to
/// the age of the leader's knowledge and the time-out of a poll, it must stay below the time within
/// which a leaving server must receive no more requests.
constexpr milliseconds reader_patience{250};
/// For how long a leader that does not answer is left alone while another host answers.
constexpr milliseconds unanswered_leader_pause{400};
/// For how long a starting host leaves reading the store to others.
constexpr milliseconds join_patience{500};
/// Hosts that start together need this long to register.
constexpr milliseconds join_interval{300};
constexpr int max_join_listings = 2;
/// Maximum number of keys whose loads are reported in one call.
constexpr std::size_t max_loads = 4096;

constexpr auto store_parts = {store_part::operators, store_part::servers, store_part::own};

} // namespace

store_feed::store_feed(host_context& state_) : state{state_}, peers{state_.io}
{
    for (const auto part : store_parts) {
        this->parts[part];
    }
    this->parts[store_part::operators].log = change_log{kept_changes::newest_of_each_key};
}

void store_feed::start()
{
    asio::co_spawn(this->state.io, this->join(), asio::detached);
}

/// Looks for hosts from which this one can learn everything else. Registrations that are some
/// seconds old are sufficient.
asio::awaitable<void> store_feed::join()
{
    for (int listing = 0; listing < max_join_listings && !this->state.leads; ++listing) {
        if (listing > 0) {
            co_await sleep_for(this->state.io, join_interval);
        }
        const auto outcome = co_await this->state.store.read_all(
            platform::prefix_of(store_part::own), read_timeout, listing_age::seconds_old);
        const auto* found = std::get_if<store_snapshot>(&outcome);
        const auto& known = this->parts[store_part::own].position;
        if (found == nullptr) {
            break;
        }
        if (!known || found->revision > *known) {
            this->apply_snapshot(store_part::own, *found);
        }
        if (!this->store_readers().empty()) {
            break;
        }
    }
    if (!this->is_store_reader()) {
        this->followed_until = monotonic_time::clock::now() + join_patience;
        this->relied_on_others = true;
    }
    for (const auto part : store_parts) {
        asio::co_spawn(this->state.io, this->watch(part), asio::detached);
    }
    for (const auto part : {store_part::operators, store_part::servers}) {
        asio::co_spawn(this->state.io, this->confirm(part), asio::detached);
    }
    asio::co_spawn(this->state.io, this->follow(), asio::detached);
}

void store_feed::record_load(const service_id& service, std::uint32_t key)
{
    if (this->loads.size() < max_loads) {
        ++this->loads[{service, key}];
    }
}

std::vector<key_load_entry> store_feed::take_loads()
{
    std::vector<key_load_entry> out;
    for (const auto& [service_key, count] : std::exchange(this->loads, {})) {
        out.push_back({.service = service_key.first, .key = service_key.second, .requests = count});
    }
    return out;
}

/// Goes on after an unexpected error: without its watch a host would rely on what it knows for
/// good.
asio::awaitable<void> store_feed::watch(store_part part)
{
    for (;;) {
        bool failed = false;
        try {
            co_await this->watch_once(part);
        }
        catch (const std::exception& error) {
            failed = true;
            log_event(log_level::error, "watch_failed",
                      {{"prefix", platform::prefix_of(part)}, {"error", error.what()}});
        }
        if (failed) {
            co_await this->pause_after_failure(part);
        }
    }
}

asio::awaitable<void> store_feed::watch_once(store_part part)
{
    const auto position = this->parts[part].position;
    if (!this->state.store_reachable && part != store_part::operators) {
        // Watching one part is enough to detect that the store is reachable again. Changes of this
        // one are rare and small.
        co_await this->state.cluster_changed.wait(monotonic_time::clock::now() + part_wait);
    }
    else if (monotonic_time::clock::now() < this->followed_until ||
             (position && this->waits_for_reload(*position))) {
        co_await sleep_for(this->state.io, follow_retry);
    }
    else if (!position) {
        co_await this->load_snapshot(part);
    }
    else {
        co_await this->load_changes(part, *position);
    }
}

/// Calls the store for the leader while a watch of this part is overdue. A watch that began before
/// this host led waits longer than followers may be left without an answer. Not for key tables,
/// whose answers are large and may be late.
asio::awaitable<void> store_feed::confirm(store_part part)
{
    for (;;) {
        co_await sleep_for(this->state.io,
                           this->state.leads ? confirm_check_interval : follower_check_interval);
        if (!this->needs_confirmation(part)) {
            continue;
        }
        const auto after = this->parts[part].position;
        const auto called_at = monotonic_time::clock::now();
        const auto asked_at = time_with_suspension();
        auto outcome = co_await this->state.store.watch(platform::prefix_of(part), *after,
                                                        milliseconds{0}, confirm_timeout);
        auto* changes = std::get_if<store_changes>(&outcome);
        if (changes == nullptr) {
            continue;
        }
        this->record_answer(part, called_at);
        const auto& position = this->parts[part].position;
        if (position && position->era() == after->era()) {
            this->apply(part, std::move(*changes));
            this->confirm_configuration(part, asked_at);
        }
    }
}

bool store_feed::needs_confirmation(store_part part) const
{
    const auto& own = this->parts.at(part);
    const auto confirmed = own.log.last_confirmed();
    return this->state.leads && this->state.store_reachable && own.position && confirmed &&
           monotonic_time::clock::now() >= *confirmed + leader_watch_wait + leader_watch_overdue;
}

/// Whether this host keeps what it knows of an earlier era for a while, so that not all hosts read
/// the store at once.
bool store_feed::waits_for_reload(store_revision position) const
{
    return position.era() < this->state.store.era() && !this->state.leads &&
           monotonic_time::clock::now() < this->state.reload_at;
}

asio::awaitable<void> store_feed::load_snapshot(store_part part)
{
    const auto asked_at = time_with_suspension();
    if (const auto snapshot = co_await this->read_part(part)) {
        this->apply_snapshot(part, *snapshot);
        this->confirm_configuration(part, asked_at);
    }
}

/// Records that what is known of the operators' part is the answer to a question sent at
/// `asked_at`, which includes time spent suspended. What is known of an earlier era of the store
/// confirms nothing.
void store_feed::confirm_configuration(store_part part, monotonic_time asked_at)
{
    const auto& position = this->parts[store_part::operators].position;
    if (part == store_part::operators && position && position->era() == this->state.store.era()) {
        this->state.freshness.confirm(asked_at);
    }
}

/// Pauses and returns nullopt if the store does not answer.
asio::awaitable<std::optional<store_snapshot>> store_feed::read_part(store_part part)
{
    const auto called_at = monotonic_time::clock::now();
    auto outcome = co_await this->state.store.read_all(platform::prefix_of(part), read_timeout);
    if (const auto* failure = std::get_if<store_failure>(&outcome)) {
        this->record_failure(part, *failure, called_at);
        co_await this->pause_after_failure(part);
        co_return std::nullopt;
    }
    this->record_answer(part, called_at);
    co_return std::get<store_snapshot>(std::move(outcome));
}

void store_feed::record_answer(store_part part, monotonic_time called_at)
{
    this->parts[part].failures = 0;
    this->parts[part].answered_at = monotonic_time::clock::now();
    this->parts[part].answered_call = called_at;
    this->state.record_store_call(true, called_at);
}

void store_feed::record_failure(store_part part, store_failure failure, monotonic_time called_at)
{
    const bool responded = store_responded(failure);
    if (responded || !this->answered_otherwise(part, called_at)) {
        this->state.record_store_call(responded, called_at);
    }
}

/// Whether the store has answered other calls while it did not answer one of this part. Key tables
/// are large, so their answers may be late. For other parts only a call that began later counts,
/// which the leader makes.
bool store_feed::answered_otherwise(store_part part, monotonic_time called_at) const
{
    return std::any_of(this->parts.begin(), this->parts.end(), [&](const auto& one) {
        const auto& answered = one.second;
        return part == store_part::own ? answered.answered_at >= called_at
                                       : this->state.leads && answered.answered_call > called_at;
    });
}

asio::awaitable<void> store_feed::load_changes(store_part part, store_revision after)
{
    if (part == store_part::own && this->state.unseen_tables.size() > max_watched_tables) {
        co_await this->catch_up(part, after);
        co_return;
    }
    const auto called_at = monotonic_time::clock::now();
    const auto asked_at = time_with_suspension();
    const bool for_others = this->state.leads || this->reads_for_others();
    const auto usual_wait = for_others ? leader_watch_wait : watch_wait;
    // An immediate answer shows that the store is reachable again, and lets a reader answer polls.
    const bool wait_for_changes =
        this->state.store_reachable &&
        (this->state.leads || !for_others || this->is_confirmed_by_store(part, called_at));
    const auto wait = wait_for_changes ? usual_wait : milliseconds{0};
    const auto margin = for_others ? leader_watch_response_margin : watch_response_margin;
    auto outcome =
        co_await this->state.store.watch(platform::prefix_of(part), after, wait, wait + margin);
    if (const auto* failure = std::get_if<store_failure>(&outcome)) {
        if (*failure == store_failure::history_gone) {
            this->state.record_store_call(true, called_at);
        }
        else {
            this->record_failure(part, *failure, called_at);
        }
        const bool is_too_long = part == store_part::own && *failure == store_failure::silent &&
                                 this->answered_otherwise(part, called_at);
        if (*failure == store_failure::history_gone || is_too_long) {
            co_await this->catch_up(part, after);
            co_return;
        }
        co_await this->pause_after_failure(part);
        co_return;
    }
    this->record_answer(part, called_at);
    auto& changes = std::get<store_changes>(outcome);
    const bool has_changes = !changes.changes.empty();
    this->apply(part, std::move(changes));
    this->confirm_configuration(part, asked_at);
    if (has_changes) {
        co_await sleep_for(this->state.io, this->backoff().after_changes());
    }
}

/// Reads a part anew instead of watching its changes. An answer to a watch holds every version of a
/// large key table; it may take longer than the time-out, and each later one is longer still.
asio::awaitable<void> store_feed::catch_up(store_part part, store_revision after)
{
    if (after.era() < this->state.store.era()) {
        this->parts[part].position.reset();
        co_return;
    }
    const auto asked_at = time_with_suspension();
    const auto snapshot = co_await this->read_part(part);
    if (!snapshot) {
        co_return;
    }
    const auto& position = this->parts[part].position;
    if (position && position->era() == snapshot->revision.era()) {
        // Hosts that follow this one get what has changed.
        this->apply(part, this->parts[part].log.changes_to(*snapshot));
        log_event(log_level::info, "store_read_anew",
                  {{"prefix", platform::prefix_of(part)},
                   {"after", std::to_string(after.number().value)},
                   {"revision", std::to_string(snapshot->revision.number().value)}});
    }
    else {
        this->apply_snapshot(part, *snapshot);
    }
    this->confirm_configuration(part, asked_at);
}

watch_backoff store_feed::backoff() const
{
    return {.watches_for_others = this->state.leads || this->reads_for_others(),
            .hosts = this->state.cluster.host_count()};
}

asio::awaitable<void> store_feed::pause_after_failure(store_part part)
{
    const auto failures = ++this->parts[part].failures;
    const auto random = next_random(this->state.random_state);
    co_await sleep_for(this->state.io, this->backoff().after_failure(failures, random));
}

/// Interprets a change. Returns nullopt for a delta whose base revision is not the known one.
std::optional<item_update> store_feed::interpret_change(const store_change& change) const
{
    if (!change.partial) {
        return platform::interpret_item(change);
    }
    const auto delta = decode_key_table_delta(change.item.value, change.item.revision.era());
    const auto* known = delta ? this->state.cluster.keys(delta->service) : nullptr;
    if (known == nullptr ||
        this->state.cluster.keys_revision(delta->service) != delta->base_revision) {
        return std::nullopt;
    }
    auto table = apply_delta(*known, *delta);
    if (!table) {
        return std::nullopt;
    }
    return key_table_update{.table = std::move(*table), .revision = change.item.revision};
}

/// Converts a change to the form sent to followers: a key table becomes a delta.
store_change store_feed::as_delta(const store_change& change, const item_update& update) const
{
    const auto* table = std::get_if<key_table_update>(&update);
    const auto* known = table != nullptr ? this->state.cluster.keys(table->table.service) : nullptr;
    const auto base = table != nullptr ? this->state.cluster.keys_revision(table->table.service)
                                       : store_revision{};
    if (change.partial || known == nullptr || base.era() != change.item.revision.era()) {
        return change;
    }
    const auto delta = make_delta(*known, base, table->table);
    return {
        .item = {.key = change.item.key, .value = encode(delta), .revision = change.item.revision},
        .removed = false,
        .partial = true};
}

/// Applies changes that are not known yet; a slow watch may deliver changes that already arrived
/// another way. Table deltas build on one another, so items of the `own` part are applied one at a
/// time. Server removals are applied as a batch because their number at once is significant.
/// Parsing a configuration is slow, so only the latest of several is parsed.
void store_feed::apply(store_part part, store_changes changes)
{
    if (changes.whole) {
        this->apply_listing(part, std::move(changes));
        return;
    }
    if (part == store_part::operators) {
        changes = newest_of_each_key(std::move(changes));
    }
    auto& own = this->parts[part];
    const auto known = own.position.value_or(store_revision{});
    const auto now = monotonic_time::clock::now();
    store_changes forwarded{.changes = {}, .revision = changes.revision};
    std::vector<item_update> batch;
    for (const auto& change : changes.changes) {
        if (change.item.revision <= known) {
            continue;
        }
        auto update = this->interpret_change(change);
        if (!update) {
            log_event(log_level::info, "table_version_missing", {{"key", change.item.key}});
            own.position.reset();
            return;
        }
        forwarded.changes.push_back(this->as_delta(change, *update));
        batch.push_back(std::move(*update));
        if (part == store_part::own) {
            this->publish(this->state.cluster.apply(part, std::exchange(batch, {}), false, now));
        }
    }
    if (!batch.empty()) {
        this->publish(this->state.cluster.apply(part, batch, false, now));
    }
    own.log.add(forwarded, now);
    own.position = std::max(known, changes.revision);
    if (part == store_part::own) {
        std::erase_if(this->state.unseen_tables,
                      [&own](store_revision one) { return one <= *own.position; });
    }
}

/// Applies the listing of a later era that the leader has sent.
void store_feed::apply_listing(store_part part, store_changes listing)
{
    const auto& position = this->parts[part].position;
    if (position && *position >= listing.revision) {
        return;
    }
    store_snapshot snapshot{.items = {}, .revision = listing.revision};
    for (auto& change : listing.changes) {
        snapshot.items.push_back(std::move(change.item));
    }
    this->apply_snapshot(part, snapshot);
}

void store_feed::apply_snapshot(store_part part, const store_snapshot& snapshot)
{
    std::vector<item_update> updates;
    for (const auto& item : snapshot.items) {
        updates.push_back(platform::interpret_item({.item = item}));
    }
    const auto now = monotonic_time::clock::now();
    this->parts[part].log.restart(snapshot, now);
    this->parts[part].position = snapshot.revision;
    if (part == store_part::own) {
        this->state.unseen_tables.clear();
    }
    this->publish(this->state.cluster.apply(part, updates, true, now));
}

void store_feed::publish(const std::vector<state_change>& lines)
{
    for (const auto& line : lines) {
        log_info_event(line.event, line.fields);
    }
    this->state.apply_crash_record();
    this->state.cluster_changed.notify();
}

/// The leader of the newest known term, from the store or another host. Returns nullopt if no other
/// host leads.
std::optional<leader_hint> store_feed::leader_to_follow() const
{
    const auto& cluster = this->state.cluster;
    const auto& term = cluster.term();
    const auto& self = this->state.settings.name;
    if (this->state.leads || this->state.pending_grants > 0 || !cluster.has_leader()) {
        return std::nullopt;
    }
    if (this->hint && this->hint->term >= term.term && this->hint->host != self) {
        return this->hint;
    }
    const auto* host = cluster.find_host(term.host);
    if (host == nullptr || term.host == self) {
        return std::nullopt;
    }
    return leader_hint{.term = term.term, .host = term.host, .peer_address = host->peer_address};
}

bool store_feed::may_lack_servers(monotonic_time now) const
{
    const auto confirmed = this->parts.at(store_part::servers).log.last_confirmed();
    return now >= this->followed_until &&
           (!confirmed || now >= *confirmed + max_age + confirm_check_interval);
}

std::optional<leader_hint> store_feed::followed_leader() const
{
    const bool is_current = monotonic_time::clock::now() < this->followed_until;
    return is_current ? this->followed : std::nullopt;
}

/// Number 0 for parts that are not known.
part_positions store_feed::positions() const
{
    part_positions out;
    for (const auto& [part, own] : this->parts) {
        out[part] = own.position.value_or(store_revision{this->state.store.era(), 0});
    }
    return out;
}

std::vector<host_id> store_feed::store_readers() const
{
    return order_store_readers(this->state.settings.failure_domain, this->state.cluster);
}

/// Whether this host is one of those that read the store while no leader answers. Each host is one
/// as long as it knows no other.
bool store_feed::is_store_reader() const
{
    const auto readers = this->store_readers();
    return readers.empty() ||
           std::find(readers.begin(), readers.end(), this->state.settings.name) != readers.end();
}

bool store_feed::reads_for_others() const
{
    return !this->state.leads && monotonic_time::clock::now() >= this->followed_until &&
           this->is_store_reader();
}

/// Whether the store itself, and not another host, has lately confirmed what is known of a part.
bool store_feed::is_confirmed_by_store(store_part part, monotonic_time now) const
{
    return now < this->parts.at(part).answered_at + max_age;
}

asio::awaitable<void> store_feed::follow()
{
    for (;;) {
        const auto leader = this->leader_to_follow();
        bool answered = leader && this->may_poll(*leader) && co_await this->poll_leader(*leader);
        if (!answered) {
            answered = co_await this->poll_reader();
        }
        if (answered) {
            co_await sleep_for(this->state.io, this->pace().pause());
            continue;
        }
        this->stop_relying_on_others();
        if (leader) {
            co_await this->find_other_leader();
            co_await sleep_for(this->state.io, follow_retry);
        }
        else {
            co_await this->state.cluster_changed.wait(monotonic_time::clock::now() + follow_retry);
        }
    }
}

/// Whether to poll the leader, which may be unresponsive until the time-out. If it did not answer
/// and a reader does, it is left alone for a while.
bool store_feed::may_poll(const leader_hint& leader) const
{
    return !this->relied_on_others || this->unanswered != leader ||
           monotonic_time::clock::now() >= this->poll_leader_at;
}

/// Called when no host answers polls. A host that reads for others begins at once; the rest tries
/// again for a while.
void store_feed::stop_relying_on_others()
{
    this->followed.reset();
    if (this->state.leads || this->is_store_reader()) {
        this->followed_until = {};
    }
    else if (this->relied_on_others) {
        this->followed_until =
            std::min(this->followed_until, monotonic_time::clock::now() + reader_patience);
    }
    this->relied_on_others = false;
}

/// Called when the leader does not answer. Probes the store and, if it is unreachable too, polls a
/// random host to find the current leader.
asio::awaitable<void> store_feed::find_other_leader()
{
    const auto now = monotonic_time::clock::now();
    if (now < this->followed_until) {
        co_return;
    }
    // While the store is unreachable, the watch detects when it answers again.
    if (this->state.store_reachable && now >= this->next_probe) {
        this->next_probe = now + probe_interval;
        const auto found = co_await this->state.store.read(leader_key, probe_timeout);
        const auto* failure = std::get_if<store_failure>(&found);
        this->state.record_store_call(failure == nullptr || store_responded(*failure), now);
    }
    const auto hosts = this->state.cluster.hosts();
    if (this->state.store_reachable || hosts.empty()) {
        co_return;
    }
    const auto& name = hosts[next_random(this->state.random_state) % hosts.size()];
    const auto* host = this->state.cluster.find_host(name);
    if (name == this->state.settings.name || host == nullptr) {
        co_return;
    }
    const leader_hint other{
        .term = this->state.cluster.term().term, .host = name, .peer_address = host->peer_address};
    if (co_await this->poll_leader(other)) {
        this->hint = other;
    }
}

void store_feed::accept_hint(const leader_hint& reported)
{
    if (reported.term >= this->state.cluster.term().term && this->hint != reported) {
        log_event(log_level::info, "leader_hint",
                  {{"term", std::to_string(reported.term)}, {"leader", reported.host.value}});
        this->hint = reported;
        this->state.cluster_changed.notify();
    }
}

follow_request store_feed::make_poll_request() const
{
    const auto positions = this->positions();
    const bool lacks_part = std::any_of(positions.begin(), positions.end(), [](const auto& one) {
        return one.second.number().value == 0;
    });
    return {.host = this->state.settings.name,
            .positions = positions,
            .era = this->state.store.era(),
            .wants_listing = lacks_part || monotonic_time::clock::now() >= this->state.reload_at};
}

asio::awaitable<bool> store_feed::poll_leader(leader_hint leader)
{
    const auto now = monotonic_time::clock::now();
    const bool known_leader = this->told == leader;
    if (!known_leader) {
        this->state.suspects.tell_again();
    }
    this->told.reset();
    auto request = this->make_poll_request();
    request.loads = this->take_loads();
    request.service_times = this->state.load_tracker.take_service_times();
    request.server_loads = this->state.load_tracker.take_own_reports(now);
    request.rate_limits = this->state.rate_limits.take_own_reports(now);
    request.leaving = this->state.cluster.servers().leaving_reports(now);
    request.crashes = this->state.suspects.take_own_reports(now);
    request.load_cursor = known_leader ? this->load_cursor : 0;
    const auto asked_at = time_with_suspension();
    auto answer = co_await this->poll(leader, std::move(request));
    if (!answer) {
        if (this->hint == leader) {
            this->hint.reset();
        }
        this->unanswered = std::move(leader);
        this->poll_leader_at = monotonic_time::clock::now() + unanswered_leader_pause;
        co_return false;
    }
    for (const auto& load : answer->server_loads) {
        this->state.load_tracker.merge(load, monotonic_time::clock::now());
    }
    this->state.merge_rate_limits(answer->rate_limits, leader.host);
    this->state.apply_leader_crash_reports(answer->crashes, answer->has_crash_record);
    const auto leaving = std::exchange(answer->leaving, {});
    this->load_cursor = answer->load_cursor;
    this->apply_answer(std::move(*answer), asked_at);
    for (const auto& one : leaving) {
        this->state.record_leaving(one, leader.host.value);
    }
    this->told = leader;
    this->followed = std::move(leader);
    co_return true;
}

/// Polls one of the hosts that read the store while no leader answers.
asio::awaitable<bool> store_feed::poll_reader()
{
    if (this->state.leads || (this->is_store_reader() && this->state.store_reachable)) {
        co_return false;
    }
    auto readers = this->store_readers();
    std::erase(readers, this->state.settings.name);
    if (readers.empty()) {
        co_return false;
    }
    const auto& name = readers[this->next_reader % readers.size()];
    const leader_hint reader{.term = this->state.cluster.term().term,
                             .host = name,
                             .peer_address = this->state.cluster.find_host(name)->peer_address};
    const auto asked_at = time_with_suspension();
    auto answer = co_await this->poll(reader, this->make_poll_request());
    if (!answer) {
        ++this->next_reader;
        co_return false;
    }
    this->apply_answer(std::move(*answer), asked_at);
    co_return true;
}

/// Returns nullopt if the host does not answer or refuses. A refusal may name the leader.
asio::awaitable<std::optional<follow_answer>> store_feed::poll(leader_hint host,
                                                               follow_request request)
{
    auto message = make_request(http::verb::post, "/follow", encode(request));
    const auto timeout = this->pace().longest_wait() + follow_response_margin;
    const auto result = co_await this->peers.call(host.peer_address, std::move(message),
                                                  monotonic_time::clock::now() + timeout);
    const auto* answer = std::get_if<http_response>(&result);
    if (answer == nullptr || answer->result() != http::status::ok) {
        const auto reported = answer != nullptr ? decode_leader_hint(answer->body()) : std::nullopt;
        if (reported) {
            this->accept_hint(*reported);
        }
        co_return std::nullopt;
    }
    auto decoded = decode_follow_answer(answer->body());
    if (!decoded) {
        log_event(log_level::warn, "peer_answer_unreadable", {{"peer", host.host.value}});
    }
    co_return decoded;
}

/// `asked_at` is when the poll was sent, including time spent suspended.
void store_feed::apply_answer(follow_answer answer, monotonic_time asked_at)
{
    this->state.store.observe_era(answer.era);
    this->state.cluster.expect_return_within(answer.return_left, monotonic_time::clock::now());
    for (auto& part : answer.parts) {
        this->apply(part.part, std::move(part.changes));
    }
    if (answer.configuration_age) {
        this->confirm_configuration(store_part::operators, asked_at - *answer.configuration_age);
    }
    this->relied_on_others = true;
    this->followed_until = monotonic_time::clock::now() + this->pace().longest_wait() +
                           follow_response_margin + follow_overlap;
}

/// When the store must have confirmed a part for polls to be answered. Only the leader writes key
/// tables, and it steps down when its authority ends, so it answers with those that it knows
/// however late its watch of them is. An outdated table costs a refused send; an outdated server or
/// configuration breaks a promise.
monotonic_time store_feed::oldest_answer(store_part part, monotonic_time now) const
{
    const bool writes_part = part == store_part::own && this->state.leads;
    return writes_part ? monotonic_time{} : now - max_age;
}

std::optional<follow_answer> store_feed::changes_since(const follow_request& request) const
{
    // While the store is reachable, a watch answers at least this often.
    const auto now = monotonic_time::clock::now();
    follow_answer out;
    for (const auto& [part, revision] : request.positions) {
        auto changes = this->parts.at(part).log.after(revision, this->oldest_answer(part, now),
                                                      request.wants_listing);
        // What a reader learned from the leader may be as old as the leader's answers may be.
        if (!changes || (!this->state.leads && !this->is_confirmed_by_store(part, now))) {
            return std::nullopt;
        }
        this->complete_tables(*changes);
        out.parts.push_back({.part = part, .changes = std::move(*changes)});
    }
    return out;
}

/// Fills in the key tables of a listing of which only the last difference is kept.
void store_feed::complete_tables(store_changes& listing) const
{
    if (!listing.whole) {
        return;
    }
    for (auto& change : listing.changes) {
        const std::string_view key{change.item.key};
        if (!change.partial || !key.starts_with(key_tables_prefix)) {
            continue;
        }
        const service_id service{
            std::string{key.substr(std::string_view{key_tables_prefix}.size())}};
        if (const auto* table = this->state.cluster.keys(service)) {
            change.item.value = encode(*table);
            change.partial = false;
        }
    }
}

/// Logs the first refused poll of a series, and the first answered one after it.
void store_feed::record_poll_outcome(const follow_request& request, bool answered)
{
    if (answered && this->refused_polls > 0) {
        log_event(log_level::info, "polls_answered",
                  {{"refused", std::to_string(this->refused_polls)}});
    }
    if (!answered && this->refused_polls == 0) {
        this->log_refused_polls(request);
    }
    this->refused_polls = answered ? 0 : this->refused_polls + 1;
}

void store_feed::log_refused_polls(const follow_request& request) const
{
    for (const auto& [part, revision] : request.positions) {
        const auto confirmed = this->parts.at(part).log.last_confirmed();
        const auto age = monotonic_time::clock::now() - confirmed.value_or(monotonic_time{});
        log_event(log_level::warn, "polls_refused",
                  {{"host", request.host.value},
                   {"prefix", platform::prefix_of(part)},
                   {"revision", std::to_string(revision.number().value)},
                   {"confirmed_ms_ago",
                    std::to_string(std::chrono::duration_cast<milliseconds>(age).count())}});
    }
}

follow_pace store_feed::pace() const
{
    return {.hosts = this->state.cluster.host_count()};
}

asio::awaitable<std::optional<follow_answer>> store_feed::answer(const follow_request& request)
{
    const auto until = monotonic_time::clock::now() + this->pace().longest_wait();
    const auto arrived_at = time_with_suspension();
    const auto has_changes = [](const part_changes& one) {
        return one.changes.whole || !one.changes.changes.empty();
    };
    for (;;) {
        auto out = this->changes_since(request);
        const bool changed = out && std::any_of(out->parts.begin(), out->parts.end(), has_changes);
        if (!out || changed || monotonic_time::clock::now() >= until) {
            this->record_poll_outcome(request, out.has_value());
            if (out) {
                out->return_left =
                    this->state.cluster.servers().return_time_left(monotonic_time::clock::now());
                const auto confirmed_at = this->state.freshness.confirmed_at();
                if (confirmed_at != monotonic_time{}) {
                    out->configuration_age =
                        std::chrono::ceil<milliseconds>(arrived_at - confirmed_at);
                }
            }
            co_return out;
        }
        co_await this->state.cluster_changed.wait(until);
    }
}

} // namespace figreach::direct
