// Management of keys while this host leads.

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "figreach/direct/runtime/leadership.h"
#include "figreach/direct/takeover.h"
#include "figreach/runtime/log.h"
#include "figreach/runtime/suspension_clock.h"
#include "leadership_timing.h"
#include "order_codec.h"

namespace figreach::direct {

namespace asio = boost::asio;

namespace {

/// Lets backend servers that start together all register before keys are first assigned.
constexpr milliseconds initial_servers_wait{700};
/// Averaging windows of key loads: long enough to tell a hot key from noise and to smooth out small
/// differences.
constexpr milliseconds recent_load_window{1500};
constexpr milliseconds usual_load_window{8000};

std::string describe(const key_order& order)
{
    const auto span = std::visit([](const auto& one) { return one.keys; }, order);
    return std::to_string(span.first) + "-" + std::to_string(span.last);
}

std::uint64_t fence_of(const key_order& order)
{
    return std::visit([](const auto& one) { return one.fence; }, order);
}

} // namespace

void leadership::record_load(const service_id& service, std::uint32_t key, double requests)
{
    if (!this->current_term) {
        return;
    }
    const auto managed = this->current_term->services.find(service);
    if (managed != this->current_term->services.end()) {
        managed->second.loads.recent.add(key, requests);
        managed->second.loads.usual.add(key, requests);
    }
}

void leadership::record_service_times(const std::vector<service_time_sample>& samples)
{
    for (const auto& sample : samples) {
        const auto* record = this->state.cluster.servers().find(sample.server);
        if (!this->current_term || record == nullptr) {
            continue;
        }
        const auto managed = this->current_term->services.find(record->entry.service);
        if (managed != this->current_term->services.end()) {
            managed->second.service_times.add(sample);
        }
    }
}

leadership::service_state leadership::make_service_state(key_grant_manager manager,
                                                         store_revision revision) const
{
    manager.set_former_leases_end(this->former_leases_end());
    return {.manager = std::move(manager),
            .loads = {.recent = key_loads{{.memory = recent_load_window}},
                      .usual = key_loads{{.memory = usual_load_window}}},
            .service_times = service_time_estimator{service_time_settings{}},
            .revision = revision};
}

asio::awaitable<void> leadership::manage_keys(std::shared_ptr<term_state> own)
{
    while (this->current_term == own && !this->resigning && !this->state.is_cut_off()) {
        const auto routes = this->state.cluster.routes();
        for (const auto& [name, service] : routes->configuration().services) {
            if (service.divided_by_key && !own->services.contains(name) &&
                !this->is_of_earlier_era(*own)) {
                co_await this->load_service(own, name);
            }
        }
        this->tick(own);
        co_await sleep_for(this->state.io, tick_interval);
    }
}

/// Loads the key table of a service, or creates one.
asio::awaitable<void> leadership::load_service(std::shared_ptr<term_state> own, service_id service)
{
    const auto key = key_tables_prefix + service.value;
    const auto found = co_await this->state.store.read(key, call_timeout);
    const auto* item = std::get_if<store_item>(&found);
    if (item == nullptr) {
        co_return;
    }
    auto table = decode_key_table(item->value);
    if (!table && item->revision.number().value != 0) {
        log_event(log_level::error, "key_table_unreadable", {{"service", service.value}});
    }
    if (!table) {
        co_await sleep_for(this->state.io, initial_servers_wait);
        if (this->key_servers_for(service, service_time_estimator{service_time_settings{}})
                .empty()) {
            co_return;
        }
    }
    if (item->revision.era() != own->term_revision.era() || this->is_of_earlier_era(*own)) {
        co_return;
    }
    const auto stored_fence = table ? std::to_string(table->next_fence) : "none";
    auto adopted = adopt_table(service, std::move(table), item->revision.era());
    log_event(log_level::info, "key_table_loaded",
              {{"service", service.value},
               {"term", std::to_string(own->term)},
               {"revision", std::to_string(item->revision.number().value)},
               {"stored_next_fence", stored_fence},
               {"next_fence", std::to_string(adopted.next_fence)}});
    key_grant_manager manager{own->manager_settings, std::move(adopted), own->former_orders_end,
                              time_with_suspension()};
    own->services.emplace(service, make_service_state(std::move(manager), item->revision));
}

void leadership::tick(const std::shared_ptr<term_state>& own)
{
    const auto now = time_with_suspension();
    if (now >= own->authority_until) {
        this->step_down(own, "authority_ran_out");
        return;
    }
    if (this->state.cluster.term().term > own->term) {
        this->step_down(own, "newer_term");
        return;
    }
    this->update_former_orders_end(*own, now);
    this->record_crashes(own);
    for (auto& item : own->services) {
        const auto& service = item.first;
        auto& managed = item.second;
        managed.loads.recent.decay(now);
        managed.loads.usual.decay(now);
        managed.service_times.decay(now);
        for (const auto& action : managed.manager.on_tick(
                 this->key_servers_for(service, managed.service_times), managed.loads, now)) {
            std::visit([&](const auto& one) { this->execute(own, service, one); }, action);
        }
    }
}

std::vector<key_server>
leadership::key_servers_for(const service_id& service,
                            const service_time_estimator& service_times) const
{
    std::vector<key_server> out;
    for (const auto& [id, record] : this->state.cluster.servers().all()) {
        if (record.entry.service == service) {
            out.push_back({.id = id,
                           .lifetime = record.entry.lifetime,
                           .address = record.entry.address,
                           .queue = {.service_time = service_times.service_time_of(id),
                                     .slots = static_cast<double>(std::max(record.entry.slots, 1U)),
                                     .max_rate = this->state.rate_limits.rate_of(id)},
                           .takes_keys = this->state.cluster.takes_new_work(record),
                           .address_claimed = record.address_claimed});
        }
    }
    return out;
}

void leadership::execute(const std::shared_ptr<term_state>& own, const service_id& service,
                         const send_order& action)
{
    const auto deadline = monotonic_time::clock::now() + action.timeout;
    asio::co_spawn(this->state.io, this->perform_order(own, service, action, deadline),
                   asio::detached);
}

void leadership::execute(const std::shared_ptr<term_state>& own, const service_id& service,
                         const write_table& action)
{
    if (this->is_of_earlier_era(*own)) {
        own->services.at(service).manager.on_not_written();
        return;
    }
    asio::co_spawn(this->state.io, this->write_key_table(own, service, action.table),
                   asio::detached);
}

asio::awaitable<void> leadership::perform_order(std::shared_ptr<term_state> own, service_id service,
                                                send_order action, monotonic_time deadline)
{
    const bool is_grant = std::holds_alternative<grant_keys>(action.order);
    ++own->pending_calls;
    this->state.path.on_sent();
    this->state.pending_grants += is_grant ? 1 : 0;
    const bool is_release = std::holds_alternative<release_keys>(action.order);
    const auto* known = this->state.cluster.servers().find(action.server);
    const auto lifetime = known != nullptr ? known->entry.lifetime : 0;
    auto request = platform::encode_order(action.order, action.server);
    http_result result = call_failure::not_sent;
    if (is_release) {
        // Orders carry no id. A late copy of an earlier answer must not pass for that of a release.
        result = co_await this->control_calls.call(action.address, std::move(request), deadline,
                                                   call_connection::own);
    }
    else {
        const order_client::lease_end lease_until = [own] { return own->lease_until; };
        result =
            co_await this->grants.call(action.address, std::move(request), deadline, lease_until);
    }
    --own->pending_calls;
    this->state.path.on_finished();
    this->state.pending_grants -= is_grant ? 1 : 0;
    if (const auto* received = std::get_if<http_response>(&result)) {
        this->state.record_server_answer();
        if (platform::decode_answer_head(received->result_int(), *received).leaving) {
            this->state.record_leaving({.server = action.server, .lifetime = lifetime}, "order");
        }
    }
    else if (std::get<call_failure>(result) == call_failure::not_sent) {
        this->state.record_server_unreachable(action.server);
    }
    const auto answer = platform::decode_order_answer(result, action.order);
    if (is_release || answer.outcome != order_outcome::done) {
        log_event(log_level::info, is_release ? "release" : "grant",
                  {{"server", action.server.value},
                   {"keys", describe(action.order)},
                   {"fence", std::to_string(fence_of(action.order))},
                   {"term", std::to_string(own->term)},
                   {"ending", name_of(answer.outcome)}});
    }
    const auto managed = own->services.find(service);
    if (managed != own->services.end()) {
        managed->second.manager.on_answer(action.call, answer, time_with_suspension());
    }
}

/// Retries writing a table until it is known whether the store holds it. Repeating the same write
/// resolves a lost response: it either succeeds or conflicts with its own first copy.
asio::awaitable<void> leadership::write_key_table(std::shared_ptr<term_state> own,
                                                  service_id service, key_table table)
{
    auto& managed = own->services.at(service);
    const auto key = key_tables_prefix + service.value;
    const auto bytes = encode(table);
    bool outcome_unknown = false;
    const auto era = own->term_revision.era();
    while (this->current_term == own && this->state.store.era() == era) {
        store_transaction change{.era = era};
        change.conditions = {{.key = key, .revision = managed.revision},
                             {.key = term_key, .revision = own->term_revision}};
        change.writes = {{.key = key, .value = bytes}};
        const auto written = co_await this->state.store.commit(std::move(change), call_timeout);
        if (const auto* revision = std::get_if<store_revision>(&written)) {
            managed.revision = *revision;
            this->state.unseen_tables.push_back(*revision);
            managed.manager.on_written(time_with_suspension());
            co_return;
        }
        const auto failure = std::get<store_failure>(written);
        if (failure == store_failure::conflict) {
            const auto found = co_await this->state.store.read(key, call_timeout);
            const auto* item = std::get_if<store_item>(&found);
            if (this->state.store.era() != era) {
                co_return;
            }
            if (item != nullptr && outcome_unknown && item->value == bytes) {
                managed.revision = item->revision;
                managed.manager.on_written(time_with_suspension());
                co_return;
            }
            if (item != nullptr) {
                this->step_down(own, "table_changed_by_other");
                co_return;
            }
        }
        outcome_unknown = outcome_unknown || !had_no_effect(failure);
        if (!outcome_unknown) {
            managed.manager.on_not_written();
            co_return;
        }
        co_await sleep_for(this->state.io, write_retry_interval);
    }
}

} // namespace figreach::direct
