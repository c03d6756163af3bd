#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "figreach/idempotency_window.h"
#include "figreach/request_attempts.h"
#include "figreach/server_gate.h"

namespace figreach {

/// Bugs injected on purpose. The checks of request_simulation must detect each of them.
enum class injected_bug : std::uint8_t {
    none,
    resends_after_first_byte,
    says_not_run_after_send,
    ignores_requests_elsewhere,
    ignores_expiry,
    window_claims_full_coverage,
    caller_repeats_before_the_end,
};

/// Simulates callers, two hosts that alternately coordinate one backend server, and that server in
/// virtual time. The argument of step() selects the next action.
class request_simulation {
public:
    explicit request_simulation(injected_bug bug_) : bug{bug_}
    {
        for (auto& host : this->hosts) {
            host.window.note_slice(full_range, this->now);
        }
        this->now += window_length;
        this->renew();
    }

    void step(std::uint32_t choice)
    {
        constexpr std::uint32_t action_count = 10;
        const auto argument = choice / action_count;
        switch (choice % action_count) {
        case 0:
            if (this->operations < max_operations) {
                this->arrive(this->operations++, argument);
            }
            break;
        case 1:
            this->repeat(argument);
            break;
        case 2:
            this->hand_over(argument);
            break;
        case 3:
            this->advance(milliseconds{1 + argument % 40});
            break;
        case 4:
            this->inject_failure(argument);
            break;
        default:
            this->progress(argument);
        }
        this->check_running();
    }

    /// Ends every request and runs the checks that require the final state.
    void settle()
    {
        constexpr int max_rounds = 64;
        for (int round = 0; round < max_rounds; ++round) {
            for (std::uint32_t i = 0; i < this->requests.size(); ++i) {
                this->progress(i);
            }
            this->advance(milliseconds{10});
        }
        this->advance(seconds{60});
        for (auto& one : this->requests) {
            this->notify(*one, deadline_passed{});
            this->check(one->final_answers == 1, "a request got no final answer");
            const bool reported_not_run =
                one->reported_error && answer_of(*one->reported_error).ran == run_state::not_run;
            this->check(!reported_not_run || *one->runs == 0,
                        "a request refused as not run has run");
        }
        for (const auto& [operation, runs] : this->runs_by_operation) {
            this->check(runs <= 1 || operation % 2 == 1, "a non-idempotent request ran twice");
        }
    }

    std::string violation;

private:
    static constexpr std::uint32_t slots = 4;
    static constexpr std::uint32_t max_operations = 10;
    static constexpr milliseconds window_length{600000};
    static constexpr milliseconds allowed{200};
    static constexpr repeat_slice full_range{.first = 0, .last = ~key_hash{0}, .fence = 1};

    enum class stage : std::uint8_t { routing, gate, started, server, finished };

    struct request {
        std::uint32_t operation = 0;
        bool first = true;
        std::size_t host = 0;
        ticket id = 0;
        stage at = stage::routing;
        bool link_lost = false;
        bool windowed = false;
        std::shared_ptr<std::uint32_t> runs = std::make_shared<std::uint32_t>(0);
        std::uint32_t final_answers = 0;
        bool answered = false;
        std::optional<error_kind> reported_error;
        monotonic_time deadline{};
        std::unique_ptr<request_attempts> attempts;

        [[nodiscard]] bool idempotent() const { return this->operation % 2 == 1; }
    };

    struct coordinator {
        server_gate gate{{.slots = slots, .max_queue_length = 6}};
        idempotency_window window{{.length = window_length, .max_entries = 12}};
    };

    void check(bool holds, const char* message)
    {
        if (!holds && this->violation.empty()) {
            this->violation = message;
        }
    }

    void arrive(std::uint32_t operation, std::uint32_t argument, bool first = true)
    {
        auto added = std::make_unique<request>();
        added->operation = operation;
        added->first = first;
        added->deadline = this->now + allowed;
        const attempt_facts facts{
            .idempotent = added->idempotent(), .arrival = this->now, .deadline = added->deadline};
        added->attempts =
            std::make_unique<request_attempts>(attempt_settings{}, facts, this->budget, argument);
        this->requests.push_back(std::move(added));
    }

    void repeat(std::uint32_t argument)
    {
        if (this->operations == 0) {
            return;
        }
        const auto operation = argument % this->operations;
        const bool repeats_early = this->bug == injected_bug::caller_repeats_before_the_end;
        if (repeats_early || this->may_repeat(operation)) {
            this->arrive(operation, argument, false);
        }
    }

    /// The condition under which callers may repeat an operation: every earlier attempt was
    /// answered or its deadline has passed.
    bool may_repeat(std::uint32_t operation) const
    {
        return std::ranges::all_of(this->requests, [this, operation](const auto& one) {
            return one->operation != operation || one->answered || this->now >= one->deadline;
        });
    }

    /// Makes the other host the coordinator after the authority of the current one has ended.
    void hand_over(std::uint32_t argument)
    {
        auto& old = this->hosts[this->coordinator_index];
        this->apply(
            this->coordinator_index,
            old.gate.set_authority(this->authority(this->now, this->coordinator_index), this->now));
        this->coordinator_index = 1 - this->coordinator_index;
        if (this->bug != injected_bug::window_claims_full_coverage) {
            this->hosts[this->coordinator_index].window.take_over(this->now);
        }
        if (argument % 2 == 0) {
            ++this->incarnation;
        }
        this->renew();
    }

    void renew()
    {
        const auto limit = this->now + milliseconds{50};
        auto& gate = this->hosts[this->coordinator_index].gate;
        this->apply(this->coordinator_index,
                    gate.set_authority(this->authority(limit, this->coordinator_index), this->now));
    }

    gate_authority authority(monotonic_time limit, std::size_t index)
    {
        gate_authority out{.until = limit, .incarnation = this->incarnation};
        if (this->bug != injected_bug::ignores_requests_elsewhere) {
            out.in_flight_elsewhere = this->at_server(1 - index);
        }
        if (this->bug == injected_bug::ignores_expiry) {
            out.until = monotonic_time::max();
        }
        return out;
    }

    void advance(milliseconds by)
    {
        this->now += by;
        for (std::size_t i = 0; i < this->hosts.size(); ++i) {
            this->apply(i, this->hosts[i].gate.on_tick(this->now));
        }
        this->renew();
    }

    /// Breaks a link, disconnects a caller or reports a passed deadline.
    void inject_failure(std::uint32_t argument)
    {
        if (this->requests.empty()) {
            return;
        }
        auto& one = *this->requests[argument / 3 % this->requests.size()];
        switch (argument % 3) {
        case 0:
            if (one.at != stage::routing && !one.link_lost) {
                one.link_lost = true;
                this->notify_host(one, lost_after_send{});
            }
            break;
        case 1:
            if (!one.answered) {
                this->note(one, one.attempts->handle(caller_left{}, this->now));
                one.answered = false;
            }
            break;
        default:
            if (this->now >= one.deadline) {
                this->notify_host(one, deadline_passed{});
            }
        }
    }

    void progress(std::uint32_t argument)
    {
        if (this->requests.empty()) {
            return;
        }
        auto& one = *this->requests[argument % this->requests.size()];
        const auto how = argument / static_cast<std::uint32_t>(this->requests.size());
        switch (one.at) {
        case stage::routing:
            this->route(one, how);
            break;
        case stage::started:
            this->send(one, how);
            break;
        case stage::server:
            this->serve(one, how);
            break;
        case stage::gate:
        case stage::finished:
            break;
        }
    }

    void route(request& one, std::uint32_t how)
    {
        if (one.attempts->ended()) {
            one.at = stage::finished;
            return;
        }
        const auto action = one.attempts->handle(
            route_resolved{how % 5 == 0 ? route_location::none : route_location::remote},
            this->now);
        if (!std::holds_alternative<forward_request>(action)) {
            this->note(one, action);
            return;
        }
        this->notify_host(one, sending{});
        // The route may be stale.
        one.host = how % 4 == 0 ? 1 - this->coordinator_index : this->coordinator_index;
        one.id = ++this->last_ticket;
        one.link_lost = false;
        this->enter(one);
    }

    void enter(request& one)
    {
        auto& at = this->hosts[one.host];
        one.windowed = !one.idempotent();
        if (one.windowed) {
            const auto decision = at.window.begin(
                {.id = this->id_of(one), .slice = full_range, .first_attempt = one.first},
                this->now);
            if (const auto* refused = std::get_if<window_refuse>(&decision)) {
                this->reject(one, refused->kind);
                return;
            }
            if (std::holds_alternative<window_replay>(decision)) {
                one.at = stage::finished;
                this->notify(one, answer_ended{});
                return;
            }
        }
        one.at = stage::gate;
        this->apply(one.host, at.gate.arrive({.id = one.id,
                                              .tenant = {one.operation % 3 == 0 ? "a" : "b"},
                                              .shed_order = one.operation % 2,
                                              .deadline = one.deadline},
                                             this->now));
    }

    void apply(std::size_t host_index, const gate_decisions& decisions)
    {
        const auto& gate = this->hosts[host_index].gate;
        for (const auto& decision : decisions) {
            if (const auto* start = std::get_if<gate_start>(&decision)) {
                this->find_request(host_index, start->id).at = stage::started;
                const auto running = gate.running() + this->at_server(1 - host_index);
                this->check(running <= gate.limit(), "a start passed the limit or the cold cap");
            }
            if (const auto* refused = std::get_if<gate_refuse>(&decision)) {
                auto& one = this->find_request(host_index, refused->id);
                if (one.windowed) {
                    this->hosts[host_index].window.forget(this->id_of(one));
                }
                this->reject(one, refused->kind);
            }
        }
    }

    void reject(request& one, error_kind kind)
    {
        one.at = stage::finished;
        if (answer_of(kind).ran != run_state::not_run) {
            // The answer is forwarded unchanged.
            this->notify(one, answer_ended{});
            return;
        }
        one.at = stage::routing;
        this->notify(one, refused_not_run{.kind = kind});
    }

    void send(request& one, std::uint32_t how)
    {
        auto& at = this->hosts[one.host];
        const bool may_send = this->now < at.gate.authority().until && this->now < one.deadline;
        if (how % 5 == 0 || !may_send) {
            this->release(one, gate_ending::not_sent);
            this->reject(one, error_kind::server_unreachable);
            return;
        }
        one.at = stage::server;
    }

    void serve(request& one, std::uint32_t how)
    {
        const auto fate = how % 6;
        if (fate == 0) {
            this->release(one, gate_ending::refused);
            this->reject(one, error_kind::server_refused);
            return;
        }
        const bool runs = fate != 1;
        const bool answers = fate > 2;
        if (runs) {
            ++*one.runs;
            ++this->runs_by_operation[one.operation];
        }
        auto& window = this->hosts[one.host].window;
        if (one.windowed && answers) {
            window.finish(this->id_of(one), kept_answer{.status = 200}, this->now);
        }
        if (one.windowed && !answers) {
            window.mark_unknown(this->id_of(one), this->now);
        }
        one.at = answers ? stage::finished : stage::routing;
        this->release_slot(one, answers ? gate_ending::answered : gate_ending::failed);
        if (answers) {
            this->notify(one, answer_ended{});
            return;
        }
        this->notify(one, lost_after_send{});
    }

    void release(request& one, gate_ending ending)
    {
        if (one.windowed) {
            this->hosts[one.host].window.forget(this->id_of(one));
        }
        one.at = stage::finished;
        this->release_slot(one, ending);
    }

    void release_slot(request& one, gate_ending ending)
    {
        const auto id = one.id;
        const auto host_index = one.host;
        auto& gate = this->hosts[host_index].gate;
        this->apply(host_index, gate.finish(id, ending, milliseconds{5}, this->now));
    }

    /// Delivers an event to the request's entry host unless the link is lost.
    void notify(request& one, const attempt_event& event)
    {
        if (!one.link_lost) {
            this->notify_host(one, event);
        }
    }

    void notify_host(request& one, const attempt_event& event)
    {
        const bool lost = std::holds_alternative<lost_after_send>(event);
        if (lost && this->bug == injected_bug::resends_after_first_byte) {
            this->note(one, one.attempts->handle(refused_not_run{.kind = error_kind::stale_route},
                                                 this->now));
            this->detach_lost_send(one);
            return;
        }
        this->note(one, one.attempts->handle(event, this->now));
        if (lost) {
            this->detach_lost_send(one);
        }
    }

    /// Separates a lost send from its request: the entry host retries or has answered while the old
    /// send may still be in progress.
    void detach_lost_send(request& one)
    {
        if (one.at == stage::routing || one.attempts->ended()) {
            return;
        }
        auto orphan = std::make_unique<request>();
        orphan->operation = one.operation;
        orphan->host = one.host;
        orphan->id = one.id;
        orphan->at = one.at;
        orphan->windowed = one.windowed;
        orphan->link_lost = true;
        orphan->runs = one.runs;
        orphan->deadline = one.deadline;
        orphan->attempts = std::make_unique<request_attempts>(
            attempt_settings{}, attempt_facts{.forwarded = true}, this->budget, 0);
        this->note(*orphan, orphan->attempts->handle(caller_left{}, this->now));
        one.at = stage::routing;
        one.id = 0;
        this->requests.push_back(std::move(orphan));
    }

    void note(request& one, const attempt_action& action)
    {
        if (const auto* error = std::get_if<reply_with_error>(&action)) {
            ++one.final_answers;
            one.answered = true;
            one.reported_error = error->kind;
            if (one.attempts->may_run() && this->bug == injected_bug::says_not_run_after_send) {
                one.reported_error = error_kind::server_unreachable;
            }
        }
        if (std::holds_alternative<conclude>(action)) {
            ++one.final_answers;
            one.answered = true;
        }
        this->check(one.final_answers <= 1, "a request got two final answers");
    }

    void check_running()
    {
        const auto running = this->at_server(0) + this->at_server(1);
        this->check(running <= slots, "the server ran more requests than it has slots");
    }

    std::uint32_t at_server(std::size_t host_index) const
    {
        std::uint32_t out = 0;
        for (const auto& one : this->requests) {
            out += one->at == stage::server && one->host == host_index ? 1 : 0;
        }
        return out;
    }

    request& find_request(std::size_t host_index, ticket id)
    {
        for (auto& one : this->requests) {
            if (one->id == id && one->host == host_index) {
                return *one;
            }
        }
        throw std::logic_error{"unknown ticket"};
    }

    static repeat_id id_of(const request& one)
    {
        return {.service = {"s"}, .key = std::to_string(one.operation), .idempotency_key = "once"};
    }

    injected_bug bug;
    monotonic_time now{seconds{1000}};
    std::array<coordinator, 2> hosts{};
    std::size_t coordinator_index = 0;
    std::uint64_t incarnation = 1;
    std::uint32_t operations = 0;
    ticket last_ticket = 0;
    retry_budget budget{{}};
    std::vector<std::unique_ptr<request>> requests;
    std::map<std::uint32_t, std::uint32_t> runs_by_operation;
};

} // namespace figreach
