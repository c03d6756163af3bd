#include "figreach/direct/runtime/leadership.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "figreach/direct/takeover.h"
#include "figreach/key_hash.h"
#include "figreach/runtime/log.h"
#include "figreach/runtime/suspension_clock.h"
#include "leadership_timing.h"

namespace figreach::direct {

namespace asio = boost::asio;

namespace {

/// Together with the time to take over, this must be shorter than grant_manager_settings::hold
/// minus renew_interval.
constexpr milliseconds lease_duration{1500};
constexpr milliseconds lease_renewal_interval{400};
constexpr milliseconds idle_poll_interval{100};
/// Delay between successive candidates.
constexpr milliseconds campaign_step{40};
constexpr milliseconds max_campaign_delay{600};
/// Time for which other hosts leave a new era of the store to the leader of the former one.
constexpr milliseconds new_era_claim_delay{1000};
constexpr milliseconds resign_timeout{1500};
constexpr milliseconds notify_retry_interval{400};

template <class Rep, class Period>
std::string milliseconds_text(std::chrono::duration<Rep, Period> time)
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(time).count());
}

/// Zero for a time in the past.
milliseconds time_until(monotonic_time at)
{
    const auto left = std::chrono::ceil<milliseconds>(at - time_with_suspension());
    return std::max(left, milliseconds{0});
}

} // namespace

leadership::leadership(host_context& state_)
    : state{state_},
      control_calls{state_.io, max_order_answer_bytes},
      grants{state_.io, state_.server_processes}
{
}

void leadership::start()
{
    asio::co_spawn(this->state.io, this->run(), asio::detached);
}

bool leadership::leads() const
{
    return this->current_term != nullptr;
}

std::uint64_t leadership::term() const
{
    return this->current_term != nullptr ? this->current_term->term : 0;
}

bool leadership::holds_lease() const
{
    return this->current_term != nullptr &&
           time_with_suspension() < this->current_term->lease_until;
}

void leadership::record_follower(const host_id& host)
{
    if (this->current_term) {
        this->current_term->followers.insert(host);
    }
}

/// Once every recently live host follows this one, no host sends orders of an earlier term. Hosts
/// that lost their registration must follow as well: such a host may be cut off from the store and
/// still lead.
void leadership::update_former_orders_end(term_state& own, monotonic_time now)
{
    if (own.former_leaders_stopped || now >= own.former_orders_end) {
        return;
    }
    if (!own.former_leaders) {
        return;
    }
    const auto& former = *own.former_leaders;
    own.former_leaders_stopped =
        std::all_of(former.begin(), former.end(), [&](const host_id& host) {
            return host == this->state.settings.name || own.followers.contains(host);
        });
    if (!own.former_leaders_stopped) {
        return;
    }
    own.former_orders_end = std::min(
        own.former_orders_end, now + max_order_duration(own.manager_settings, own.former_hold));
    for (auto& item : own.services) {
        item.second.manager.limit_former_orders(own.former_orders_end);
    }
    log_event(log_level::info, "former_orders_known",
              {{"followers", std::to_string(own.followers.size())},
               {"end_in_ms", milliseconds_text(own.former_orders_end - now)}});
}

asio::awaitable<void> leadership::run()
{
    while (!this->resigning) {
        if (this->accepted_term) {
            const auto accepted = std::exchange(this->accepted_term, nullptr);
            co_await this->run_term(accepted);
            continue;
        }
        if (!this->state.cluster.is_complete() || this->state.cluster.has_leader() ||
            this->state.is_cut_off()) {
            co_await this->state.cluster_changed.wait(monotonic_time::clock::now() +
                                                      idle_poll_interval);
            continue;
        }
        co_await this->campaign();
    }
}

asio::awaitable<void> leadership::run_term(std::shared_ptr<term_state> own)
{
    this->current_term = own;
    this->state.leads = true;
    this->state.led_term = own->term;
    this->state.crash_record_writes.start_term();
    asio::co_spawn(this->state.io, this->keep_lease(own), asio::detached);
    co_await this->manage_keys(own);
    if (this->current_term == own && !this->resigning && this->state.is_cut_off()) {
        co_await this->give_up(own, "no_server_path");
    }
}

/// Waits for this host's campaign delay and claims the next term if no other host has.
asio::awaitable<void> leadership::campaign()
{
    co_await sleep_for(this->state.io, this->campaign_delay());
    if (this->state.cluster.has_leader() || this->resigning || this->state.is_cut_off()) {
        co_return;
    }
    const auto own = co_await this->claim_term();
    if (!own) {
        co_await sleep_for(this->state.io, idle_poll_interval);
        co_return;
    }
    co_await this->run_term(own);
}

/// Hosts with a larger CPU share campaign first; ties are broken by a rendezvous hash of host and
/// term. The last leader campaigns last.
milliseconds leadership::campaign_delay() const
{
    const auto& term = this->state.cluster.term();
    const auto item = std::to_string(term.term);
    const auto rank = [&](const host_id& host) {
        const auto* known = this->state.cluster.find_host(host);
        const bool last = known == nullptr || host == term.host;
        return last ? std::pair{std::uint32_t{0}, std::uint64_t{0}}
                    : std::pair{known->processor_percent, rendezvous_weight(item, host.value)};
    };
    const auto own = rank(this->state.settings.name);
    std::int64_t before = 0;
    for (const auto& host : this->state.cluster.hosts()) {
        before += rank(host) > own ? 1 : 0;
    }
    // The leader of an earlier era goes on without a gap if it is the first to claim. The store may
    // have lost its term before this host read it.
    const auto era = this->state.store.era();
    const bool leader_may_continue = era > first_era && !term.resigned &&
                                     term.host != this->state.settings.name &&
                                     term.term < first_number_of(era);
    return std::min(campaign_step * before, max_campaign_delay) +
           (leader_may_continue ? new_era_claim_delay : milliseconds{0});
}

asio::awaitable<std::shared_ptr<leadership::term_state>> leadership::claim_term()
{
    auto& store = this->state.store;
    const auto sent_at = time_with_suspension();
    const auto lease = co_await store.open_lease(lease_duration, call_timeout);
    const auto found = co_await store.read(term_key, call_timeout);
    const auto* opened = std::get_if<store_lease>(&lease);
    const auto* item = std::get_if<store_item>(&found);
    if (opened == nullptr || item == nullptr || item->revision.era() != opened->era) {
        co_return nullptr;
    }
    const auto era = opened->era;
    const auto stored = decode_leader_term(item->value).value_or(leader_term{});
    const auto former = former_term(stored, this->is_own(stored), this->claims);
    const auto seen = this->state.cluster.term();
    const bool is_unled_claim = this->is_own(seen) && !this->has_led(seen);
    const auto known = is_unled_claim ? former : seen;
    const auto manager_settings = this->current_settings();
    const auto next =
        this->make_term(next_term(std::max(stored.term, seen.term), era), manager_settings.hold);
    auto claim = make_term_claim(next, *opened, {era, 0}, item->revision);
    const auto written = co_await store.commit(std::move(claim), call_timeout);
    const auto* revision = std::get_if<store_revision>(&written);
    if (revision == nullptr) {
        this->claims.replaced = former;
        co_return nullptr;
    }
    this->claims = {.led_term = next.term, .replaced = std::nullopt};
    auto own = std::make_shared<term_state>();
    own->term = next.term;
    own->lease = *opened;
    own->term_revision = *revision;
    own->manager_settings = manager_settings;
    own->former_hold = std::max(former.hold, manager_settings.hold);
    own->extend_lease(sent_at);
    const predecessor before{.stored = former,
                             .known_term = known.term,
                             .was_self = this->has_led(former),
                             .handed_over_term = this->handed_over_term};
    own->former_orders_end =
        std::max(time_with_suspension() + former_orders_wait(before, era, manager_settings),
                 this->earlier_orders_end);
    own->former_leaders = this->possible_former_leaders(former);
    // The store may have lost the record of the latest leader.
    const auto& latest = known.term > former.term ? known : former;
    log_event(
        log_level::info, "lead_taken",
        {{"term", std::to_string(next.term)},
         {"former", latest.host.value},
         {"former_resigned", latest.resigned ? "true" : "false"},
         {"former_orders_ms", milliseconds_text(own->former_orders_end - time_with_suspension())}});
    const bool was_handed_over = latest.term == this->handed_over_term && this->successor_hint;
    const auto former_host = was_handed_over ? this->successor_hint->host : latest.host;
    if (!former_host.empty() && !latest.resigned && former_host != this->state.settings.name) {
        asio::co_spawn(this->state.io, this->notify_former_leader(own, former_host),
                       asio::detached);
    }
    co_return own;
}

/// Hosts that may have led within the maximum authority. Returns nullopt if this host's knowledge
/// does not reach back that far: a leader that is cut off from the store may have lost its
/// registration before this host learned of it.
std::optional<std::vector<host_id>>
leadership::possible_former_leaders(const leader_term& former) const
{
    constexpr auto max_authority = lease_duration + outage_authority;
    static_assert(cluster_state::host_retention >= max_authority);
    auto out = this->state.cluster.hosts_seen_within(max_authority, monotonic_time::clock::now());
    for (const auto& host : {former.host, this->state.cluster.term().host}) {
        if (out && !host.empty()) {
            out->push_back(host);
        }
    }
    return out;
}

/// Tells the former leader about the new term. A leader that has lost only the store would
/// otherwise keep leading until its authority expires.
asio::awaitable<void> leadership::notify_former_leader(std::shared_ptr<term_state> own,
                                                       host_id former)
{
    const leader_hint self{.term = own->term,
                           .host = this->state.settings.name,
                           .peer_address = this->state.settings.peer_address};
    bool notified = false;
    while (!notified && !own->former_leaders_stopped &&
           time_with_suspension() < own->former_orders_end) {
        if (const auto* host = this->state.cluster.find_host(former)) {
            auto request = make_request(boost::beast::http::verb::post, "/term", encode(self));
            const auto result =
                co_await this->control_calls.call(host->peer_address, std::move(request),
                                                  monotonic_time::clock::now() + call_timeout);
            const auto* answer = std::get_if<http_response>(&result);
            notified = answer != nullptr && answer->result() == boost::beast::http::status::ok;
        }
        co_await sleep_for(this->state.io, notify_retry_interval);
    }
    log_event(log_level::info, "former_leader_told",
              {{"term", std::to_string(own->term)},
               {"former", former.value},
               {"told", notified ? "true" : "false"}});
}

void leadership::observe_term(std::uint64_t term)
{
    if (this->accepted_term && this->accepted_term->term < term) {
        this->accepted_term.reset();
    }
    if (const auto own = this->current_term; own && own->term < term) {
        this->step_down(own, "newer_term");
    }
}

grant_manager_settings leadership::current_settings() const
{
    return for_fleet({}, this->state.cluster.host_count(), this->state.settings.max_hold);
}

asio::awaitable<void> leadership::keep_lease(std::shared_ptr<term_state> own)
{
    while (this->current_term == own) {
        co_await sleep_for(this->state.io, lease_renewal_interval);
        const auto sent_at = time_with_suspension();
        const auto called_at = monotonic_time::clock::now();
        const auto failure = co_await this->state.store.renew_lease(own->lease, call_timeout);
        this->state.record_store_call(!failure || store_responded(*failure), called_at);
        if (this->is_of_earlier_era(*own)) {
            co_await this->continue_in_new_era(own);
            continue;
        }
        if (failure == store_failure::lease_gone) {
            this->step_down(own, "lease_gone");
            co_await this->record_resignation(own);
            co_return;
        }
        if (!failure) {
            own->extend_lease(sent_at);
        }
    }
}

void leadership::term_state::extend_lease(monotonic_time sent_at)
{
    this->lease_until = sent_at + lease_duration;
    this->authority_until = this->lease_until + outage_authority;
}

/// A term in which this process leads.
leader_term leadership::make_term(std::uint64_t term, milliseconds hold) const
{
    return {.term = term,
            .host = this->state.settings.name,
            .host_lifetime = this->state.lifetime,
            .hold = hold};
}

/// Whether this process leads or led in the term.
bool leadership::is_own(const leader_term& term) const
{
    return term.host == this->state.settings.name && term.host_lifetime == this->state.lifetime;
}

bool leadership::has_led(const leader_term& term) const
{
    return this->is_own(term) && term.term == this->claims.led_term;
}

monotonic_time leadership::former_leases_end() const
{
    // A store that went back has lost leases that last on for their owners. Otherwise a lease is
    // over once another host leads.
    const bool went_back = this->state.store.era() > first_era;
    return went_back ? this->state.era_seen_at + lease_duration : monotonic_time{};
}

bool leadership::is_of_earlier_era(const term_state& own) const
{
    return own.term_revision.era() < this->state.store.era();
}

/// Claims a new term in the new era and writes the tables of this leader again. They are the
/// present ones if its lease lasted until the store went back, since nobody else can have led
/// before.
asio::awaitable<void> leadership::continue_in_new_era(std::shared_ptr<term_state> own)
{
    if (!is_latest_of_era(own->lease_until, this->state.era_seen_at)) {
        this->step_down(own, "era_over");
        co_return;
    }
    while (this->current_term == own && this->is_of_earlier_era(*own)) {
        const auto sent_at = time_with_suspension();
        const auto opened = co_await this->state.store.open_lease(lease_duration, call_timeout);
        const auto* lease = std::get_if<store_lease>(&opened);
        std::optional<term_claim> claim;
        if (lease != nullptr) {
            claim = co_await this->make_new_era_claim(own, *lease);
        }
        if (!claim) {
            co_await sleep_for(this->state.io, write_retry_interval);
            continue;
        }
        const auto written =
            co_await this->state.store.commit(std::move(claim->transaction), call_timeout);
        const auto* revision = std::get_if<store_revision>(&written);
        if (revision == nullptr || this->current_term != own) {
            co_await sleep_for(this->state.io, write_retry_interval);
            continue;
        }
        own->term = claim->term;
        this->claims.led_term = claim->term;
        this->state.led_term = claim->term;
        this->state.crash_record_writes.start_term();
        own->lease = *lease;
        own->term_revision = *revision;
        own->extend_lease(sent_at);
        for (auto& item : own->services) {
            item.second.revision = *revision;
        }
        log_event(log_level::warn, "lead_continued",
                  {{"term", std::to_string(own->term)},
                   {"revision", std::to_string(revision->number().value)},
                   {"tables", std::to_string(own->services.size())}});
    }
}

/// Returns an empty optional if the store does not answer, or steps down if another host has
/// claimed a term of the new era.
asio::awaitable<std::optional<leadership::term_claim>>
leadership::make_new_era_claim(std::shared_ptr<term_state> own, store_lease lease)
{
    auto& store = this->state.store;
    const auto leader = co_await store.read(leader_key, call_timeout);
    const auto term = co_await store.read(term_key, call_timeout);
    const auto* leader_item = std::get_if<store_item>(&leader);
    const auto* term_item = std::get_if<store_item>(&term);
    if (leader_item == nullptr || term_item == nullptr) {
        co_return std::nullopt;
    }
    const auto stored = decode_leader_term(term_item->value).value_or(leader_term{});
    // An earlier claim of this loop may have taken effect without an answer.
    if (stored.term >= first_number_of(lease.era) && !this->is_own(stored)) {
        this->step_down(own, "newer_term");
        co_return std::nullopt;
    }
    const auto next = this->make_term(next_term(std::max(own->term, stored.term), lease.era),
                                      own->manager_settings.hold);
    term_claim claim{.term = next.term,
                     .transaction =
                         make_term_claim(next, lease, leader_item->revision, term_item->revision)};
    auto& out = claim.transaction;
    for (auto& [service, managed] : own->services) {
        const auto key = key_tables_prefix + service.value;
        const auto found = co_await store.read(key, call_timeout);
        const auto* item = std::get_if<store_item>(&found);
        if (item == nullptr) {
            co_return std::nullopt;
        }
        managed.manager.continue_in_new_era(first_number_of(lease.era));
        out.conditions.push_back({.key = key, .revision = item->revision});
        out.writes.push_back({.key = key, .value = encode(managed.manager.table())});
    }
    co_return claim;
}

void leadership::step_down(const std::shared_ptr<term_state>& own, const char* reason)
{
    if (this->current_term == own) {
        log_event(log_level::info, "lead_lost",
                  {{"term", std::to_string(own->term)}, {"reason", reason}});
        this->earlier_orders_end = own->former_orders_end;
        this->current_term.reset();
        this->state.leads = false;
        this->state.led_term = 0;
        this->state.unseen_tables.clear();
        this->state.cluster_changed.notify();
    }
}

/// Waits until no grant call is in progress. On a host that is short of CPU time, a grant may be
/// sent long after it was decided.
asio::awaitable<void> leadership::wait_for_pending_grants()
{
    while (this->state.pending_grants > 0) {
        co_await sleep_for(this->state.io, tick_interval);
    }
}

/// Records in the store that this host sends no more orders, so that a successor need not wait for
/// its authority to expire.
asio::awaitable<void> leadership::record_resignation(std::shared_ptr<term_state> own)
{
    co_await this->wait_for_pending_grants();
    auto last = this->make_term(own->term, own->manager_settings.hold);
    last.resigned = true;
    last.former_orders = time_until(own->former_orders_end);
    store_transaction resignation{.era = own->term_revision.era()};
    resignation.conditions = {{.key = term_key, .revision = own->term_revision}};
    resignation.writes = {{.key = term_key, .value = encode(last)}};
    resignation.removals = {leader_key};
    co_await this->state.store.commit(std::move(resignation), call_timeout);
}

leadership_transfer leadership::make_offer(const term_state& own) const
{
    // Counted from the arrival of the offer.
    const auto authority = std::chrono::floor<milliseconds>(own.authority_until -
                                                            time_with_suspension() - call_timeout);
    leadership_transfer out{.term = own.term,
                            .lease = own.lease,
                            .term_revision = own.term_revision,
                            .authority = std::max(authority, milliseconds{0}),
                            .former_orders = time_until(own.former_orders_end),
                            .tables = {}};
    for (const auto& [service, managed] : own.services) {
        out.tables.push_back({.table = managed.manager.table(), .revision = managed.revision});
    }
    return out;
}

/// Offers the term to the other hosts in turn until one accepts it. An unanswered offer ends the
/// search, because that host may have accepted it.
asio::awaitable<bool> leadership::hand_over(std::shared_ptr<term_state> own)
{
    for (const auto& name : this->state.cluster.hosts()) {
        const auto* host = this->state.cluster.find_host(name);
        if (host == nullptr || name == this->state.settings.name) {
            continue;
        }
        const leader_hint next{.term = own->term, .host = name, .peer_address = host->peer_address};
        auto request =
            make_request(boost::beast::http::verb::post, "/tenure", encode(this->make_offer(*own)));
        const auto result = co_await this->control_calls.call(
            next.peer_address, std::move(request), monotonic_time::clock::now() + call_timeout);
        const auto* answer = std::get_if<http_response>(&result);
        const bool taken = answer != nullptr && answer->result() == boost::beast::http::status::ok;
        const auto* failure = std::get_if<call_failure>(&result);
        log_event(log_level::info, "lead_offered",
                  {{"term", std::to_string(own->term)},
                   {"to", name.value},
                   {"taken", taken ? "true" : "false"}});
        if (taken) {
            this->successor_hint = next;
        }
        const bool may_lead = taken || (failure != nullptr && *failure == call_failure::no_answer);
        if (may_lead) {
            this->handed_over_term = own->term;
            co_return true;
        }
    }
    co_return false;
}

bool leadership::accept_offer(const leadership_transfer& offer)
{
    const bool known_term = offer.term >= this->state.cluster.term().term &&
                            offer.term_revision.era() >= this->state.store.era();
    const bool may_lead =
        this->state.cluster.is_complete() && !this->resigning && !this->state.is_cut_off();
    if (this->current_term || this->accepted_term || !may_lead || !known_term) {
        return false;
    }
    // Writes and renewals of this term need its era to be the known one.
    this->state.store.observe_era(offer.term_revision.era());
    const auto now = time_with_suspension();
    const auto& term = this->state.cluster.term();
    auto settings = this->current_settings();
    // A successor waits only for the hold recorded with the term.
    const bool is_named = term.term == offer.term && term.hold > milliseconds{0};
    const auto named = is_named ? term.hold : grant_manager_settings{}.hold;
    settings.hold = std::min(settings.hold, named);
    auto own = std::make_shared<term_state>();
    own->manager_settings = settings;
    own->former_hold = std::max(named, settings.hold);
    own->term = offer.term;
    own->lease = offer.lease;
    own->term_revision = offer.term_revision;
    own->authority_until = now + offer.authority;
    own->lease_until = own->authority_until - outage_authority;
    own->former_orders_end =
        std::max(now + offer.former_orders, now + max_order_duration(settings, own->former_hold));
    for (const auto& one : offer.tables) {
        key_grant_manager manager{settings, one.table, own->former_orders_end, now};
        own->services.emplace(one.table.service,
                              make_service_state(std::move(manager), one.revision));
    }
    log_event(log_level::info, "lead_accepted",
              {{"term", std::to_string(offer.term)},
               {"authority_ms", std::to_string(offer.authority.count())}});
    this->accepted_term = std::move(own);
    this->state.cluster_changed.notify();
    return true;
}

const std::optional<leader_hint>& leadership::successor() const
{
    return this->successor_hint;
}

asio::awaitable<void> leadership::resign()
{
    this->resigning = true;
    const auto own = this->current_term;
    if (!own) {
        co_return;
    }
    const auto until = monotonic_time::clock::now() + resign_timeout;
    while (own->pending_calls > 0 && monotonic_time::clock::now() < until) {
        co_await sleep_for(this->state.io, tick_interval);
    }
    co_await this->give_up(own, "resigned");
}

/// Stops leading and lets another host lead as soon as possible.
asio::awaitable<void> leadership::give_up(std::shared_ptr<term_state> own, const char* reason)
{
    this->step_down(own, reason);
    co_await this->wait_for_pending_grants();
    const auto probe = co_await this->state.store.read(term_key, call_timeout);
    const auto* failure = std::get_if<store_failure>(&probe);
    if (failure != nullptr && !store_responded(*failure) && co_await this->hand_over(own)) {
        co_return;
    }
    co_await this->record_resignation(own);
    co_await this->state.store.end_lease(own->lease, call_timeout);
}

} // namespace figreach::direct
