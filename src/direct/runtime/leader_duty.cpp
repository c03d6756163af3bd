#include "figreach/direct/runtime/leader_duty.h"

#include <algorithm>
#include <ctime>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "figreach/key_hash.h"
#include "figreach/runtime/log.h"
#include "order_codec.h"

namespace figreach::direct {

namespace asio = boost::asio;

namespace {

/// With the takeover it is shorter than grant_manager_settings::hold less renew_interval.
constexpr milliseconds lease_time{1500};
constexpr milliseconds lease_renewal{400};
constexpr milliseconds call_timeout{500};
/// Renewals go on for this long after the lease ran out while the store does not answer, so that
/// its outages do not take keys away. A successor waits for it where an owner does not answer.
constexpr milliseconds outage_authority{9000};
constexpr milliseconds tick_interval{20};
constexpr milliseconds idle_check{100};
/// Between the hosts that stand one after the other.
constexpr milliseconds standing_step{40};
constexpr milliseconds longest_standing{600};
/// Backend servers that start together are all known before keys are first placed.
constexpr milliseconds first_servers_wait{700};
constexpr milliseconds write_retry{100};
constexpr milliseconds resign_limit{1500};
constexpr milliseconds tell_retry{400};
/// Of loads: long enough to tell a hot key from chance, and to even out small differences.
constexpr milliseconds recent_memory{1500};
constexpr milliseconds usual_memory{8000};

template <class Rep, class Period>
std::string in_ms(std::chrono::duration<Rep, Period> time)
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(time).count());
}

/// From the decision to grant keys for `hold` to the end of the grant at the server.
milliseconds longest_order(const grant_manager_settings& with, milliseconds hold)
{
    constexpr std::int64_t whole_percent = 100;
    return with.order_timeout + hold * (whole_percent + with.clock_drift_percent) / whole_percent +
           with.margin;
}

std::string describe(const key_order& order)
{
    const auto span = std::visit([](const auto& one) { return one.keys; }, order);
    return std::to_string(span.first) + "-" + std::to_string(span.last);
}

} // namespace

monotonic_time time_with_suspension()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return monotonic_time{seconds{now.tv_sec} + nanoseconds{now.tv_nsec}};
}

leader_duty::leader_duty(host_context& state_) : state{state_}, orders{state_.io} {}

void leader_duty::start()
{
    asio::co_spawn(this->state.io, this->run(), asio::detached);
}

bool leader_duty::leads() const
{
    return this->present != nullptr;
}

void leader_duty::note_load(const service_id& service, std::uint32_t key, double requests)
{
    if (!this->present) {
        return;
    }
    const auto kept = this->present->services.find(service);
    if (kept != this->present->services.end()) {
        kept->second.loads.recent.add(key, requests);
        kept->second.loads.usual.add(key, requests);
    }
}

void leader_duty::note_follower(const host_id& host)
{
    if (this->present) {
        this->present->followers.insert(host);
    }
}

/// Once every host that lived lately follows this one, nobody gives orders of an earlier term. One
/// that has lost its registration must follow, too: it may be cut off from the store and lead.
void leader_duty::settle_former_orders(tenure& own, monotonic_time now)
{
    if (own.former_known || now >= own.former_orders_end) {
        return;
    }
    if (!own.former_hosts) {
        return;
    }
    const auto& former = *own.former_hosts;
    own.former_known = std::all_of(former.begin(), former.end(), [&](const host_id& host) {
        return host == this->state.settings.name || own.followers.contains(host);
    });
    if (!own.former_known) {
        return;
    }
    own.former_orders_end =
        std::min(own.former_orders_end, now + longest_order(own.keeping, own.former_hold));
    for (auto& item : own.services) {
        item.second.keeper.limit_former_orders(own.former_orders_end);
    }
    log_event(log_level::info, "former_orders_known",
              {{"followers", std::to_string(own.followers.size())},
               {"end_in_ms", in_ms(own.former_orders_end - now)}});
}

void leader_duty::note_paces(const std::vector<service_time_sample>& paces)
{
    for (const auto& one : paces) {
        const auto* standing = this->state.beliefs.servers().find(one.server);
        if (!this->present || standing == nullptr) {
            continue;
        }
        const auto kept = this->present->services.find(standing->entry.service);
        if (kept != this->present->services.end()) {
            kept->second.work.add(one);
        }
    }
}

leader_duty::kept_service leader_duty::keep(key_grant_manager keeper, std::int64_t revision)
{
    return {.keeper = std::move(keeper),
            .loads = {.recent = key_loads{{.memory = recent_memory}},
                      .usual = key_loads{{.memory = usual_memory}}},
            .work = service_time_estimator{service_time_settings{}},
            .revision = revision};
}

asio::awaitable<void> leader_duty::run()
{
    while (!this->resigning) {
        if (this->accepted) {
            co_await this->hold_office(std::exchange(this->accepted, nullptr));
            continue;
        }
        if (!this->state.beliefs.is_complete() || this->state.beliefs.has_leader()) {
            co_await this->state.changed.wait(monotonic_time::clock::now() + idle_check);
            continue;
        }
        co_await this->stand();
    }
}

asio::awaitable<void> leader_duty::hold_office(std::shared_ptr<tenure> own)
{
    this->present = own;
    this->state.leads = true;
    asio::co_spawn(this->state.io, this->keep_lease(own), asio::detached);
    co_await this->lead(own);
}

/// Waits for its turn among the hosts and takes over if nobody did.
asio::awaitable<void> leader_duty::stand()
{
    co_await sleep_for(this->state.io, this->standing_delay());
    if (this->state.beliefs.has_leader() || this->resigning) {
        co_return;
    }
    const auto own = co_await this->take_over();
    if (!own) {
        co_await sleep_for(this->state.io, idle_check);
        co_return;
    }
    co_await this->hold_office(own);
}

/// Hosts with more processor time stand first, those with as much in an order of their own for each
/// term; the last leader comes last.
milliseconds leader_duty::standing_delay() const
{
    const auto& term = this->state.beliefs.term();
    const auto item = std::to_string(term.term);
    const auto rank = [&](const host_id& host) {
        const auto* known = this->state.beliefs.find_host(host);
        const bool last = known == nullptr || host == term.host;
        return last ? std::pair{std::uint32_t{0}, std::uint64_t{0}}
                    : std::pair{known->processor_percent, rendezvous_weight(item, host.value)};
    };
    const auto own = rank(this->state.settings.name);
    std::int64_t before = 0;
    for (const auto& host : this->state.beliefs.hosts()) {
        before += rank(host) > own ? 1 : 0;
    }
    return std::min(standing_step * before, longest_standing);
}

asio::awaitable<std::shared_ptr<leader_duty::tenure>> leader_duty::take_over()
{
    auto& store = this->state.store;
    const auto asked = time_with_suspension();
    const auto lease = co_await store.open_lease(lease_time, call_timeout);
    const auto found = co_await store.read(term_key, call_timeout);
    const auto* lease_id = std::get_if<std::int64_t>(&lease);
    const auto* item = std::get_if<stored_value>(&found);
    if (lease_id == nullptr || item == nullptr) {
        co_return nullptr;
    }
    const auto former = decode_leader_term(item->value).value_or(leader_term{});
    const auto keeping = this->settings_now();
    const leader_term next{.term = former.term + 1,
                           .host = this->state.settings.name,
                           .host_lifetime = this->state.lifetime,
                           .resigned = false,
                           .hold = keeping.hold};
    store_transaction claim;
    claim.conditions = {{.key = leader_key, .revision = 0},
                        {.key = term_key, .revision = item->revision}};
    claim.writes = {{.key = leader_key, .value = next.host.value, .lease = *lease_id},
                    {.key = term_key, .value = encode(next), .lease = 0}};
    const auto written = co_await store.commit(std::move(claim), call_timeout);
    const auto* revision = std::get_if<std::int64_t>(&written);
    if (revision == nullptr) {
        co_return nullptr;
    }
    auto own = std::make_shared<tenure>();
    own->number = next.term;
    own->lease = *lease_id;
    own->term_revision = *revision;
    own->keeping = keeping;
    own->former_hold = std::max(former.hold, keeping.hold);
    own->authority_until = asked + lease_time + outage_authority;
    own->former_orders_end = this->end_of_former_orders(former, time_with_suspension());
    own->former_hosts = this->hosts_before(former);
    log_event(log_level::info, "lead_taken",
              {{"term", std::to_string(next.term)},
               {"former", former.host.value},
               {"former_resigned", former.resigned ? "true" : "false"},
               {"former_orders_ms", in_ms(own->former_orders_end - time_with_suspension())}});
    if (!former.host.empty() && !former.resigned && former.host != this->state.settings.name) {
        asio::co_spawn(this->state.io, this->tell_former_leader(own, former.host), asio::detached);
    }
    co_return own;
}

/// Nothing: a leader that is cut off may have lost its registration before this host knew of it.
std::optional<std::vector<host_id>> leader_duty::hosts_before(const leader_term& former) const
{
    constexpr auto longest_authority = lease_time + outage_authority;
    static_assert(cluster_state::host_retention >= longest_authority);
    auto out =
        this->state.beliefs.hosts_seen_within(longest_authority, monotonic_time::clock::now());
    if (out && !former.host.empty()) {
        out->push_back(former.host);
    }
    return out;
}

/// A former leader that is cut off from the store alone would lead on until its authority ends.
asio::awaitable<void> leader_duty::tell_former_leader(std::shared_ptr<tenure> own, host_id former)
{
    const leader_hint self{.term = own->number,
                           .host = this->state.settings.name,
                           .peer_address = this->state.settings.peer_address};
    bool told = false;
    while (!told && !own->former_known && time_with_suspension() < own->former_orders_end) {
        if (const auto* host = this->state.beliefs.find_host(former)) {
            auto request = make_request(boost::beast::http::verb::post, "/term", encode(self));
            const auto result =
                co_await this->orders.call(host->peer_address, std::move(request),
                                           monotonic_time::clock::now() + call_timeout);
            const auto* answer = std::get_if<http_response>(&result);
            told = answer != nullptr && answer->result() == boost::beast::http::status::ok;
        }
        co_await sleep_for(this->state.io, tell_retry);
    }
    log_event(log_level::info, "former_leader_told",
              {{"term", std::to_string(own->number)},
               {"former", former.value},
               {"told", told ? "true" : "false"}});
}

void leader_duty::note_term(std::uint64_t term)
{
    if (this->accepted && this->accepted->number < term) {
        this->accepted.reset();
    }
    if (const auto own = this->present; own && own->number < term) {
        this->step_down(own, "newer_term");
    }
}

grant_manager_settings leader_duty::settings_now() const
{
    return for_fleet({}, this->state.beliefs.host_count(), this->state.settings.max_hold);
}

/// When the last grant of the former leader has run out for certain.
monotonic_time leader_duty::end_of_former_orders(const leader_term& former,
                                                 monotonic_time now) const
{
    if (former.host.empty()) {
        return now;
    }
    const auto with = this->settings_now();
    const auto last_grant = longest_order(with, std::max(former.hold, with.hold));
    // A leader that ended may have handed its term over; only its own word ends the doubt.
    const bool was_self =
        former.host == this->state.settings.name && former.host_lifetime == this->state.lifetime;
    const bool ended = former.resigned || was_self;
    return now + last_grant + (ended ? milliseconds{0} : outage_authority);
}

asio::awaitable<void> leader_duty::keep_lease(std::shared_ptr<tenure> own)
{
    while (this->present == own) {
        co_await sleep_for(this->state.io, lease_renewal);
        const auto asked = time_with_suspension();
        const auto called = monotonic_time::clock::now();
        const auto failure = co_await this->state.store.renew_lease(own->lease, call_timeout);
        this->state.note_store(!failure || store_responded(*failure), called);
        if (failure == store_failure::lease_gone) {
            this->step_down(own, "lease_gone");
            co_await this->tell_end(own);
            co_return;
        }
        if (!failure) {
            own->authority_until = asked + lease_time + outage_authority;
        }
    }
}

void leader_duty::step_down(const std::shared_ptr<tenure>& own, const char* reason)
{
    if (this->present == own) {
        log_event(log_level::info, "lead_lost",
                  {{"term", std::to_string(own->number)}, {"reason", reason}});
        this->present.reset();
        this->state.leads = false;
        this->state.changed.notify();
    }
}

asio::awaitable<void> leader_duty::lead(std::shared_ptr<tenure> own)
{
    while (this->present == own && !this->resigning) {
        const auto routes = this->state.beliefs.routes();
        for (const auto& [name, service] : routes->configuration().services) {
            if (service.divided_by_key && !own->services.contains(name)) {
                co_await this->open_service(own, name);
            }
        }
        this->tick(own);
        co_await sleep_for(this->state.io, tick_interval);
    }
}

/// Reads the table of a service, or makes one.
asio::awaitable<void> leader_duty::open_service(std::shared_ptr<tenure> own, service_id service)
{
    const auto key = key_tables_prefix + service.value;
    const auto found = co_await this->state.store.read(key, call_timeout);
    const auto* item = std::get_if<stored_value>(&found);
    if (item == nullptr) {
        co_return;
    }
    auto table = decode_key_table(item->value);
    if (!table && item->revision != 0) {
        log_event(log_level::error, "key_table_unreadable", {{"service", service.value}});
    }
    const bool is_new = !table;
    if (is_new) {
        co_await sleep_for(this->state.io, first_servers_wait);
        if (this->servers_of(service, service_time_estimator{service_time_settings{}}).empty()) {
            co_return;
        }
    }
    key_grant_manager keeper{own->keeping, is_new ? make_key_table(service) : std::move(*table),
                             own->former_orders_end, time_with_suspension()};
    own->services.emplace(service, keep(std::move(keeper), item->revision));
}

void leader_duty::tick(const std::shared_ptr<tenure>& own)
{
    const auto now = time_with_suspension();
    if (now >= own->authority_until) {
        this->step_down(own, "authority_ran_out");
        return;
    }
    this->settle_former_orders(*own, now);
    for (auto& item : own->services) {
        const auto& service = item.first;
        auto& kept = item.second;
        kept.loads.recent.decay(now);
        kept.loads.usual.decay(now);
        kept.work.decay(now);
        for (const auto& action :
             kept.keeper.on_tick(this->servers_of(service, kept.work), kept.loads, now)) {
            std::visit([&](const auto& one) { this->carry_out(own, service, one); }, action);
        }
    }
}

std::vector<key_server> leader_duty::servers_of(const service_id& service,
                                                const service_time_estimator& work) const
{
    std::vector<key_server> out;
    for (const auto& [id, standing] : this->state.beliefs.servers().all()) {
        if (standing.entry.service == service) {
            out.push_back(
                {.id = id,
                 .lifetime = standing.entry.lifetime,
                 .address = standing.entry.address,
                 .queue = {.service_time = work.service_time_of(id),
                           .slots = static_cast<double>(std::max(standing.entry.slots, 1U))},
                 .takes_keys = this->state.beliefs.takes_new_work(standing),
                 .ended = standing.address_reused});
        }
    }
    return out;
}

void leader_duty::carry_out(const std::shared_ptr<tenure>& own, const service_id& service,
                            const send_order& action)
{
    const auto deadline = monotonic_time::clock::now() + action.timeout;
    asio::co_spawn(this->state.io, this->order(own, service, action, deadline), asio::detached);
}

void leader_duty::carry_out(const std::shared_ptr<tenure>& own, const service_id& service,
                            const write_table& action)
{
    asio::co_spawn(this->state.io, this->write(own, service, action.table), asio::detached);
}

asio::awaitable<void> leader_duty::order(std::shared_ptr<tenure> own, service_id service,
                                         send_order what, monotonic_time deadline)
{
    const bool is_grant = std::holds_alternative<grant_keys>(what.order);
    ++own->open_calls;
    this->state.open_grants += is_grant ? 1 : 0;
    const auto result = co_await this->orders.call(
        what.address, platform::encode_order(what.order, what.server), deadline);
    --own->open_calls;
    this->state.open_grants -= is_grant ? 1 : 0;
    const auto answer = platform::decode_order_answer(result);
    const bool is_release = std::holds_alternative<release_keys>(what.order);
    if (is_release || answer.outcome != order_outcome::done) {
        log_event(log_level::info, is_release ? "release" : "grant",
                  {{"server", what.server.value},
                   {"keys", describe(what.order)},
                   {"ending", name_of(answer.outcome)}});
    }
    const auto kept = own->services.find(service);
    if (kept != own->services.end()) {
        kept->second.keeper.on_answer(what.call, answer, time_with_suspension());
    }
}

/// Writes a table until it is known whether it lies in the store. The same write again settles an
/// answer that was lost: it succeeds, or it meets its own first copy.
asio::awaitable<void> leader_duty::write(std::shared_ptr<tenure> own, service_id service,
                                         key_table draft)
{
    auto& kept = own->services.at(service);
    const auto key = key_tables_prefix + service.value;
    const auto bytes = encode(draft);
    bool unsure = false;
    while (this->present == own) {
        store_transaction change;
        change.conditions = {{.key = key, .revision = kept.revision},
                             {.key = term_key, .revision = own->term_revision}};
        change.writes = {{.key = key, .value = bytes, .lease = 0}};
        const auto written = co_await this->state.store.commit(std::move(change), call_timeout);
        if (const auto* revision = std::get_if<std::int64_t>(&written)) {
            kept.revision = *revision;
            kept.keeper.on_written(time_with_suspension());
            co_return;
        }
        const auto failure = std::get<store_failure>(written);
        if (failure == store_failure::conflict) {
            const auto found = co_await this->state.store.read(key, call_timeout);
            const auto* item = std::get_if<stored_value>(&found);
            if (item != nullptr && unsure && item->value == bytes) {
                kept.revision = item->revision;
                kept.keeper.on_written(time_with_suspension());
                co_return;
            }
            if (item != nullptr) {
                this->step_down(own, "table_changed_by_other");
                co_return;
            }
        }
        unsure = unsure || !had_no_effect(failure);
        if (!unsure) {
            kept.keeper.on_not_written();
            co_return;
        }
        co_await sleep_for(this->state.io, write_retry);
    }
}

/// On a host that is short of processor time a grant may leave long after it was decided.
asio::awaitable<void> leader_duty::grants_ended()
{
    while (this->state.open_grants > 0) {
        co_await sleep_for(this->state.io, tick_interval);
    }
}

/// Lets a successor know that this host gives no orders any more.
asio::awaitable<void> leader_duty::tell_end(std::shared_ptr<tenure> own)
{
    co_await this->grants_ended();
    const leader_term last{.term = own->number,
                           .host = this->state.settings.name,
                           .host_lifetime = this->state.lifetime,
                           .resigned = true,
                           .hold = own->keeping.hold};
    store_transaction farewell;
    farewell.conditions = {{.key = term_key, .revision = own->term_revision}};
    farewell.writes = {{.key = term_key, .value = encode(last), .lease = 0}};
    farewell.removals = {leader_key};
    co_await this->state.store.commit(std::move(farewell), call_timeout);
}

leadership_transfer leader_duty::offer_of(const tenure& own) const
{
    const auto now = time_with_suspension();
    const auto left = [now](monotonic_time until) {
        return std::max(std::chrono::floor<milliseconds>(until - now), milliseconds{0});
    };
    leadership_transfer out{.term = own.number,
                            .lease = own.lease,
                            .term_revision = own.term_revision,
                            .authority = left(own.authority_until),
                            .former_orders = left(own.former_orders_end),
                            .tables = {}};
    for (const auto& [service, kept] : own.services) {
        out.tables.push_back({.table = kept.keeper.table(), .revision = kept.revision});
    }
    return out;
}

/// Hands the term to another host, one after the other until one takes it. An offer without an
/// answer ends the search: the host may have taken it.
asio::awaitable<bool> leader_duty::hand_over(std::shared_ptr<tenure> own)
{
    for (const auto& name : this->state.beliefs.hosts()) {
        const auto* host = this->state.beliefs.find_host(name);
        if (host == nullptr || name == this->state.settings.name) {
            continue;
        }
        const leader_hint next{
            .term = own->number, .host = name, .peer_address = host->peer_address};
        auto request =
            make_request(boost::beast::http::verb::post, "/tenure", encode(this->offer_of(*own)));
        const auto result = co_await this->orders.call(next.peer_address, std::move(request),
                                                       monotonic_time::clock::now() + call_timeout);
        const auto* answer = std::get_if<http_response>(&result);
        const bool taken = answer != nullptr && answer->result() == boost::beast::http::status::ok;
        const auto* failure = std::get_if<call_failure>(&result);
        log_event(log_level::info, "lead_offered",
                  {{"term", std::to_string(own->number)},
                   {"to", name.value},
                   {"taken", taken ? "true" : "false"}});
        if (taken) {
            this->handed_to = next;
        }
        if (taken || (failure != nullptr && *failure == call_failure::no_answer)) {
            co_return true;
        }
    }
    co_return false;
}

bool leader_duty::accept(const leadership_transfer& offer)
{
    const bool known_term = offer.term >= this->state.beliefs.term().term;
    const bool may_lead = this->state.beliefs.is_complete() && !this->resigning;
    if (this->present || this->accepted || !may_lead || !known_term) {
        return false;
    }
    const auto now = time_with_suspension();
    const auto& term = this->state.beliefs.term();
    auto with = this->settings_now();
    // A successor waits for the hold that the term names.
    const bool is_named = term.term == offer.term && term.hold > milliseconds{0};
    const auto named = is_named ? term.hold : grant_manager_settings{}.hold;
    with.hold = std::min(with.hold, named);
    auto own = std::make_shared<tenure>();
    own->keeping = with;
    own->former_hold = std::max(named, with.hold);
    own->number = offer.term;
    own->lease = offer.lease;
    own->term_revision = offer.term_revision;
    own->authority_until = now + offer.authority;
    own->former_orders_end =
        std::max(now + offer.former_orders, now + longest_order(with, own->former_hold));
    for (const auto& one : offer.tables) {
        key_grant_manager keeper{with, one.table, own->former_orders_end, now};
        own->services.emplace(one.table.service, keep(std::move(keeper), one.revision));
    }
    log_event(log_level::info, "lead_accepted",
              {{"term", std::to_string(offer.term)},
               {"authority_ms", std::to_string(offer.authority.count())}});
    this->accepted = std::move(own);
    this->state.changed.notify();
    return true;
}

const std::optional<leader_hint>& leader_duty::successor() const
{
    return this->handed_to;
}

asio::awaitable<void> leader_duty::resign()
{
    this->resigning = true;
    const auto own = this->present;
    if (!own) {
        co_return;
    }
    const auto until = monotonic_time::clock::now() + resign_limit;
    while (own->open_calls > 0 && monotonic_time::clock::now() < until) {
        co_await sleep_for(this->state.io, tick_interval);
    }
    this->step_down(own, "resigned");
    co_await this->grants_ended();
    const auto probe = co_await this->state.store.read(term_key, call_timeout);
    const auto* failure = std::get_if<store_failure>(&probe);
    if (failure != nullptr && !store_responded(*failure) && co_await this->hand_over(own)) {
        co_return;
    }
    co_await this->tell_end(own);
    co_await this->state.store.end_lease(own->lease, call_timeout);
}

} // namespace figreach::direct
