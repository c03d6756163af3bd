#include "promise_check.h"

#include <algorithm>
#include <unordered_map>
#include <unordered_set>

namespace figreach::load {

namespace {

using execution_list = std::vector<const server_execution*>;

void check_answers(promise_counts& out, const std::vector<request_record>& requests)
{
    for (const auto& one : requests) {
        out.answered += one.result == request_result::answered ? 1 : 0;
        out.foreign_answers += one.result == request_result::foreign_answer ? 1 : 0;
        out.shortened_answers += one.result == request_result::shortened_answer ? 1 : 0;
    }
}

/// `executions` are those of one key, ordered by start time.
void check_owners(promise_counts& out, const execution_list& executions)
{
    const server_execution* previous = nullptr;
    for (const auto* one : executions) {
        if (previous != nullptr) {
            const bool fence_decreased = one->fence < previous->fence;
            const bool other_server = one->server != previous->server;
            const bool shared_fence = other_server && one->fence == previous->fence;
            out.wrong_owner += fence_decreased || shared_fence ? 1 : 0;
            out.overlapping_runs += other_server && previous->end_ns > one->start_ns ? 1 : 0;
        }
        previous = one;
    }
}

std::unordered_map<std::string, execution_list>
group_by_key(const std::vector<server_execution>& executions,
             const std::unordered_set<std::string>& keyed_requests)
{
    std::unordered_map<std::string, execution_list> out;
    for (const auto& one : executions) {
        if (keyed_requests.contains(one.request_id)) {
            out[one.key].push_back(&one);
        }
    }
    return out;
}

void check_runs(promise_counts& out, const std::vector<request_record>& requests,
                const std::vector<server_execution>& executions)
{
    std::unordered_set<std::string> executed_requests;
    std::unordered_map<std::string, std::uint64_t> runs_by_idempotency_key;
    for (const auto& one : executions) {
        executed_requests.insert(one.request_id);
        if (!one.idempotency_key.empty()) {
            ++runs_by_idempotency_key[one.idempotency_key];
        }
    }
    for (const auto& [key, runs] : runs_by_idempotency_key) {
        out.ran_twice += runs > 1 ? 1 : 0;
    }
    for (const auto& one : requests) {
        const bool ran = executed_requests.contains(one.id);
        out.not_run_that_ran += one.result == request_result::not_run && ran ? 1 : 0;
        const bool replayed = runs_by_idempotency_key.contains(one.idempotency_key);
        const bool answered = one.result == request_result::answered;
        out.answered_without_execution += answered && !ran && !replayed ? 1 : 0;
    }
}

} // namespace

std::uint64_t promise_counts::broken() const
{
    return this->wrong_owner + this->foreign_answers + this->shortened_answers +
           this->not_run_that_ran + this->ran_twice;
}

promise_counts check_promises(const std::vector<request_record>& requests,
                              std::vector<server_execution> executions)
{
    promise_counts out;
    std::unordered_set<std::string> keyed_requests;
    for (const auto& one : requests) {
        if (one.keyed) {
            keyed_requests.insert(one.id);
        }
    }
    std::ranges::stable_sort(executions, {}, &server_execution::start_ns);
    check_answers(out, requests);
    for (const auto& [key, list] : group_by_key(executions, keyed_requests)) {
        check_owners(out, list);
    }
    check_runs(out, requests, executions);
    return out;
}

} // namespace figreach::load
