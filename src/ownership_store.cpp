// Store calls: reads of documents, and writes by the assigning host.

#include <algorithm>
#include <utility>

#include "figreach/assigner.h"
#include "figreach/document_codec.h"
#include "figreach/ownership.h"
#include "figreach/validator_choice.h"

namespace figreach {

namespace {

constexpr milliseconds read_all_interval{500};
constexpr unsigned max_backoff_doublings = 4;
constexpr std::size_t standby_pollers = 2;

} // namespace

/// After a start, reads all documents until one read succeeds.
void ownership::read_all(monotonic_time now)
{
    if (this->store_loaded || this->pending_read_all || now < this->next_read_all) {
        return;
    }
    const auto doublings = std::min(this->failed_reads, max_backoff_doublings);
    this->next_read_all = now + read_all_interval * (1U << doublings);
    this->pending_read_all = this->next_call++;
    this->actions.emplace_back(call_store{.call = *this->pending_read_all,
                                          .request = read_prefix{std::string{partition_prefix}}});
}

/// Polls for newer versions: the assigning host of a partition often, the next two hosts less
/// often.
void ownership::poll_store(monotonic_time now)
{
    if (!this->store_loaded || !this->view.system_description) {
        return;
    }
    for (auto& [id, state] : this->states) {
        const auto order = by_preference(store_key(id), this->view.hosts);
        const auto own = std::ranges::find(order, this->self.name);
        const auto rank = static_cast<std::size_t>(own - order.begin());
        if (rank > standby_pollers) {
            continue;
        }
        const auto interval =
            rank == 0 ? this->settings.store_poll : this->settings.store_standby_poll;
        if (auto read = state.writer.read(interval, now)) {
            this->start_call(id, std::move(*read));
        }
    }
}

void ownership::assign(const partition_id& id, partition_state& state, monotonic_time now)
{
    if (this->assigning_host(id) != this->self.name) {
        return;
    }
    const auto found = this->known_partitions.find(id);
    const auto version = found == this->known_partitions.end() ? 0 : found->second->version;
    if (!state.writer.ready(version)) {
        // Another host has written since the last read.
        if (auto read = state.writer.read(this->settings.confirm_interval, now)) {
            this->start_call(id, std::move(*read));
        }
        return;
    }
    if (version == 0) {
        this->create_document(id, state, now);
        return;
    }
    if (auto changed = this->next_change(*found->second, state, now)) {
        this->start_call(id, state.writer.write(std::move(*changed)));
    }
}

void ownership::create_document(const partition_id& id, partition_state& state, monotonic_time now)
{
    if (!state.writer.absent() || now < *this->started_at + this->settings.settle_after) {
        return;
    }
    auto first = first_assignment(*this->view.system_description, id,
                                  choose_validators(id, this->view.hosts), {});
    if (!first.slices.empty() && !first.validators.empty()) {
        this->start_call(id, state.writer.write(std::move(first)));
    }
}

std::optional<partition> ownership::next_change(const partition& present, partition_state& state,
                                                monotonic_time now)
{
    if (auto completed = state.moves.complete(present)) {
        return completed;
    }
    if (auto changed = this->change_validators(present, state, now)) {
        return changed;
    }
    auto planned = this->policy.plan(present, *this->view.system_description, now);
    const bool valid = planned && *planned != present && defect_of(*planned).empty() &&
                       keeps_moves(present, *planned);
    return valid ? planned : std::nullopt;
}

/// Replaces validators whose hosts have been absent for long. Both sets confirm until a majority of
/// the old set knows the change and all holds that it granted before have expired.
std::optional<partition> ownership::change_validators(const partition& present,
                                                      partition_state& state, monotonic_time now)
{
    auto changed = present;
    if (!present.previous_validators.empty()) {
        if (state.confirmations.known_version() < present.version) {
            return std::nullopt;
        }
        const auto wait = this->settings.authority + this->settings.drift_margin;
        if (!state.settled_since) {
            state.settled_since = now;
        }
        if (now < *state.settled_since + wait) {
            return std::nullopt;
        }
        changed.previous_validators.clear();
        return changed;
    }
    state.settled_since.reset();
    const auto is_absent = [this, now](const host_id& host) {
        const auto seen = this->last_live_at.find(host);
        const auto last = seen == this->last_live_at.end() ? *this->started_at : seen->second;
        return now >= last + this->settings.replace_validator_after;
    };
    auto chosen = choose_validators(present.id, this->view.hosts);
    const bool settled = now >= *this->started_at + this->settings.settle_after;
    const bool too_few = settled && chosen.size() > present.validators.size();
    if (!too_few && std::ranges::none_of(present.validators, is_absent)) {
        return std::nullopt;
    }
    changed.previous_validators = present.validators;
    changed.validators = std::move(chosen);
    return changed;
}

void ownership::start_call(const partition_id& id, store_call request)
{
    const auto number = this->next_call++;
    this->pending_calls[number] = id;
    this->actions.emplace_back(call_store{.call = number, .request = std::move(request)});
}

} // namespace figreach
