#include "figreach/runtime/relay_outcome.h"

#include <algorithm>

namespace figreach {

namespace {

constexpr milliseconds min_retry_after{200};

/// The error named in a refusal of another entry host or a backend server; server_refused if the
/// name is unknown or does not mean that the request was not run.
error_kind refused_kind(const std::string& name)
{
    const auto kind = find_error_kind(name);
    const bool plain =
        kind && answer_of(*kind).http_status != 0 && answer_of(*kind).ran == run_state::not_run;
    return plain ? *kind : error_kind::server_refused;
}

} // namespace

gate_ending gate_ending_of(const relay_result& result)
{
    switch (result.ending) {
    case relay_ending::answered:
        return gate_ending::answered;
    case relay_ending::refused: {
        const bool stale = result.refusal_name == name_of(error_kind::stale_route);
        return stale ? gate_ending::not_sent : gate_ending::refused;
    }
    case relay_ending::not_sent:
        return gate_ending::not_sent;
    case relay_ending::caller_left:
        return gate_ending::cancelled;
    case relay_ending::late:
        return gate_ending::late;
    case relay_ending::lost:
    case relay_ending::truncated:
        return gate_ending::failed;
    }
    return gate_ending::failed;
}

attempt_event event_of(const relay_result& result, bool replayable)
{
    switch (result.ending) {
    case relay_ending::answered:
        return answer_ended{};
    case relay_ending::refused:
        return refused_not_run{.kind = refused_kind(result.refusal_name),
                               .retry_after = std::max(result.retry_after, min_retry_after),
                               .replayable = replayable};
    case relay_ending::not_sent:
        return not_sent{.kind = error_kind::no_owner};
    case relay_ending::lost:
        return lost_after_send{.replayable = replayable};
    case relay_ending::late:
        return deadline_passed{};
    case relay_ending::truncated:
        return answer_truncated{};
    case relay_ending::caller_left:
        return caller_left{};
    }
    return lost_after_send{.replayable = false};
}

bool has_ended(const relay_result& result)
{
    switch (result.ending) {
    case relay_ending::answered:
    case relay_ending::refused:
    case relay_ending::not_sent:
        return true;
    case relay_ending::lost:
    case relay_ending::truncated:
    case relay_ending::caller_left:
    case relay_ending::late:
        return false;
    }
    return false;
}

} // namespace figreach
