#include "figreach/idempotency_window.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace figreach {

namespace {

/// Maximum number of slices with recorded coverage. When it is exceeded, all coverage restarts.
constexpr std::size_t max_slices = 4096;

std::size_t size_of(const repeat_id& id, const std::string& fingerprint)
{
    // The identifier is stored twice: as the key of the table and in the list of ended entries.
    const auto names = id.service.value.size() + id.key.size() + id.idempotency_key.size();
    return 2 * (names + sizeof(repeat_id)) + fingerprint.size();
}

} // namespace

idempotency_window::idempotency_window(idempotency_window_settings settings_) : settings{settings_}
{
}

void idempotency_window::take_over(monotonic_time now)
{
    for (auto& [first, covered] : this->slices) {
        covered.since = now;
    }
}

void idempotency_window::note_slice(const repeat_slice& slice, monotonic_time now)
{
    static_cast<void>(this->covered_since(slice, now));
}

window_decision idempotency_window::begin(const window_request& request, monotonic_time now)
{
    this->expire(now);
    const bool missed = this->may_have_missed(request, now);
    const auto found = this->entries.find(request.id);
    if (found != this->entries.end()) {
        return this->decide_repeat(found->second, request);
    }
    if (missed && !request.first_attempt) {
        return window_refuse{.kind = error_kind::repeat_outcome_unknown};
    }
    this->evict();
    if (this->entries.size() >= this->settings.max_entries) {
        return window_refuse{.kind = error_kind::overloaded,
                             .retry_after = this->settings.retry_after};
    }
    entry fresh{.fingerprint = request.fingerprint};
    fresh.bytes = size_of(request.id, request.fingerprint);
    this->used_bytes += fresh.bytes;
    this->entries.emplace(request.id, std::move(fresh));
    return window_run{};
}

void idempotency_window::forget(const repeat_id& id)
{
    const auto found = this->entries.find(id);
    if (found != this->entries.end() && found->second.state == entry_state::in_progress) {
        this->used_bytes -= found->second.bytes;
        this->entries.erase(found);
    }
}

void idempotency_window::finish(const repeat_id& id, std::optional<kept_answer> answer,
                                monotonic_time now)
{
    if (answer && answer->body.size() > this->settings.max_answer_bytes) {
        answer.reset();
    }
    this->end(id, entry_state::ran, std::move(answer), now);
}

void idempotency_window::mark_unknown(const repeat_id& id, monotonic_time now)
{
    this->end(id, entry_state::unknown, std::nullopt, now);
}

std::size_t idempotency_window::size() const
{
    return this->entries.size();
}

std::size_t idempotency_window::bytes() const
{
    return this->used_bytes;
}

window_decision idempotency_window::decide_repeat(const entry& known,
                                                  const window_request& request) const
{
    if (known.fingerprint != request.fingerprint) {
        return window_refuse{.kind = error_kind::repeat_mismatch};
    }
    switch (known.state) {
    case entry_state::in_progress:
        return window_refuse{.kind = error_kind::repeat_in_progress,
                             .retry_after = this->settings.retry_after};
    case entry_state::unknown:
        return window_refuse{.kind = error_kind::repeat_outcome_unknown};
    case entry_state::ran:
        break;
    }
    if (!known.answer) {
        return window_refuse{.kind = error_kind::repeat_answer_not_kept};
    }
    return window_replay{*known.answer};
}

bool idempotency_window::may_have_missed(const window_request& request, monotonic_time now)
{
    const auto since = this->covered_since(request.slice, now);
    return now - since < this->settings.length || now < this->evicted_until;
}

monotonic_time idempotency_window::covered_since(const repeat_slice& slice, monotonic_time now)
{
    const auto exact = this->slices.find(slice.first);
    if (exact != this->slices.end() && exact->second.fence == slice.fence &&
        exact->second.last == slice.last) {
        return exact->second.since;
    }
    // An equal fence means that the whole range has had the same owner, also after a split.
    auto since = now;
    const auto after = this->slices.upper_bound(slice.first);
    if (after != this->slices.begin()) {
        const auto containing = std::prev(after)->second;
        if (containing.fence == slice.fence && containing.last >= slice.last) {
            since = containing.since;
            if (containing.last > slice.last) {
                this->slices.try_emplace(slice.last + 1, containing);
            }
        }
    }
    if (this->slices.size() >= max_slices) {
        this->slices.clear();
    }
    this->slices[slice.first] = {.last = slice.last, .fence = slice.fence, .since = since};
    return since;
}

void idempotency_window::end(const repeat_id& id, entry_state state,
                             std::optional<kept_answer> answer, monotonic_time now)
{
    const auto found = this->entries.find(id);
    if (found == this->entries.end() || found->second.state != entry_state::in_progress) {
        return;
    }
    auto& known = found->second;
    known.state = state;
    known.ended = now;
    if (answer) {
        const auto added = answer->body.size() + answer->content_type.size();
        known.bytes += added;
        this->used_bytes += added;
        known.answer = std::move(answer);
    }
    this->ended.push_back({.id = id, .at = now});
    this->evict();
}

void idempotency_window::expire(monotonic_time now)
{
    while (!this->ended.empty() && now - this->ended.front().at >= this->settings.length) {
        this->erase_oldest();
    }
}

void idempotency_window::evict()
{
    const auto over_limit = [this] {
        return this->used_bytes > this->settings.max_bytes ||
               this->entries.size() >= this->settings.max_entries;
    };
    while (!this->ended.empty() && over_limit()) {
        this->evicted_until =
            std::max(this->evicted_until, this->ended.front().at + this->settings.length);
        this->erase_oldest();
    }
}

void idempotency_window::erase_oldest()
{
    const auto found = this->entries.find(this->ended.front().id);
    this->used_bytes -= found->second.bytes;
    this->entries.erase(found);
    this->ended.pop_front();
}

} // namespace figreach
