#include "figreach/configuration_change.h"

#include <utility>

#include "figreach/description_diff.h"
#include "figreach/description_edit.h"
#include "figreach/description_parser.h"
#include "figreach/description_transition.h"
#include "figreach/history.h"

namespace figreach {

namespace {

constexpr milliseconds retry_delay{100};

/// Maximum number of attempts to apply a state change when concurrent changes are written first.
constexpr std::uint32_t max_attempts = 16;

/// File name under which faults report a submitted description.
constexpr auto submitted_name = "description";

constexpr auto domain_list = "failure_domain";
constexpr auto server_list = "backend_server";

constexpr auto not_editable_text =
    "The text of the description cannot be edited in place; change the state with apply.";

constexpr auto store_unavailable_text =
    "The platform's store does not answer and nothing was written. A change that is not in the "
    "store could be lost together with the hosts that know it, so figreach accepts no changes "
    "until the store answers. Repeat the change then; meanwhile, stop or drain the backend servers "
    "directly.";

constexpr auto unknown_text =
    "The store's answer was lost. The change may be in force now or later; read the history "
    "before repeating it.";

constexpr auto invalid_utf8_text =
    "The name or the reason is not valid UTF-8; nothing was written.";

constexpr auto malformed_history_text =
    "The history in the store is malformed; the last valid version stays in force.";

constexpr auto history_lost_text =
    "The history in the store no longer shows whether the change was accepted.";

parsed_description parse(const description_record& record)
{
    auto parsed = parse_description(record.toml, "version " + std::to_string(record.version));
    parsed.value.version = record.version;
    return parsed;
}

std::string join_names(const auto& items)
{
    std::string out;
    for (const auto& item : items) {
        out += out.empty() ? item.name.value : " | " + item.name.value;
    }
    return out.empty() ? "none: the description has no such items" : out;
}

fault unknown_name_fault(const std::string& list, const std::string& name, const auto& items)
{
    return {.file = submitted_name,
            .line = 0,
            .key = list,
            .found = "'" + name + "'",
            .allowed = join_names(items)};
}

fault too_large_fault(std::size_t bytes)
{
    return {.file = submitted_name,
            .line = 0,
            .key = "(whole)",
            .found = std::to_string(bytes) + " bytes",
            .allowed = "at most " + std::to_string(max_history_bytes) + " bytes"};
}

stored_value first_value(const store_read& answer)
{
    return answer.values.empty() ? stored_value{} : answer.values.front();
}

} // namespace

configuration_change::configuration_change(change_request request_) : request{std::move(request_)}
{
}

change_step configuration_change::start(monotonic_time now)
{
    if (const auto* whole = std::get_if<replace_description>(&this->request.edit)) {
        auto parsed = parse_description(whole->toml, submitted_name);
        if (!parsed.faults.empty()) {
            auto out = this->answer(change_outcome::invalid, "");
            out.faults = std::move(parsed.faults);
            return out;
        }
    }
    return this->read(now);
}

change_step configuration_change::on_answer(const store_result& answer, monotonic_time now)
{
    return std::visit([this, now](const auto& one) { return this->on_result(one, now); }, answer);
}

change_step configuration_change::on_result(const store_read& answer, monotonic_time now)
{
    const auto present = first_value(answer);
    return this->proposal.empty() ? this->plan(present, now) : this->resolve(present, now);
}

change_step configuration_change::on_result(const store_written& answer, monotonic_time)
{
    auto out = this->answer(change_outcome::accepted, "");
    out.version = this->proposed_version;
    out.accepted = stored_value{
        .key = std::string{description_key}, .value = this->proposal, .revision = answer.revision};
    return out;
}

change_step configuration_change::on_result(const store_conflict& answer, monotonic_time now)
{
    return this->resolve(answer.present, now);
}

change_step configuration_change::on_result(const store_no_answer&, monotonic_time now)
{
    const bool in_time = now + retry_delay < this->request.deadline;
    if (in_time) {
        return this->read(now + retry_delay);
    }
    if (this->proposal.empty()) {
        return this->answer(change_outcome::not_accepted, store_unavailable_text);
    }
    return this->answer(change_outcome::unknown, unknown_text);
}

change_step configuration_change::read(monotonic_time not_before) const
{
    return change_call{.call = read_key{std::string{description_key}},
                       .not_before = not_before,
                       .deadline = this->request.deadline};
}

change_step configuration_change::write(monotonic_time now) const
{
    return change_call{.call = compare_and_swap{.key = std::string{description_key},
                                                .expected_revision = this->base_value.revision,
                                                .value = this->proposal},
                       .not_before = now,
                       .deadline = this->request.deadline};
}

change_step configuration_change::plan(const stored_value& present, monotonic_time now)
{
    auto history = decode_history(present.value);
    if (!history) {
        return this->answer(change_outcome::not_accepted, malformed_history_text);
    }
    this->base_value = present;
    this->known_history = std::move(*history);
    this->in_force =
        this->known_history.empty() ? description{} : parse(this->known_history.back()).value;
    return std::visit([this, now](const auto& what) { return this->edit(what, now); },
                      this->request.edit);
}

change_step configuration_change::edit(const replace_description& what, monotonic_time now)
{
    if (version_in_force(this->known_history) != what.based_on) {
        return this->conflict(what.based_on);
    }
    return this->check(what.toml, now);
}

change_step configuration_change::edit(const set_domain_state& what, monotonic_time now)
{
    const auto* item = find_failure_domain(this->in_force, what.name);
    if (item == nullptr) {
        return this->reject_unknown_item(
            unknown_name_fault(domain_list, what.name.value, this->in_force.failure_domains));
    }
    return this->edit_state(domain_list, *item, what.state, now);
}

change_step configuration_change::edit(const set_server_state& what, monotonic_time now)
{
    const auto* item = find_server(this->in_force, what.name);
    if (item == nullptr) {
        return this->reject_unknown_item(
            unknown_name_fault(server_list, what.name.value, this->in_force.backend_servers));
    }
    return this->edit_state(server_list, *item, what.state, now);
}

change_step configuration_change::reject_unknown_item(fault what) const
{
    auto out = this->answer(change_outcome::invalid, "");
    out.faults.push_back(std::move(what));
    return out;
}

template <class Item>
change_step configuration_change::edit_state(const char* list, const Item& item,
                                             service_state wanted, monotonic_time now)
{
    const auto& name = item.name.value;
    if (item.state == wanted) {
        return this->answer(change_outcome::unchanged,
                            std::string{list} + " '" + name + "' is already in this state.");
    }
    auto toml = with_state(this->known_history.back().toml, list, name, wanted);
    if (!toml) {
        return this->answer(change_outcome::not_accepted, not_editable_text);
    }
    return this->check(std::move(*toml), now);
}

change_step configuration_change::check(std::string toml, monotonic_time now)
{
    const auto after = parse_description(toml, submitted_name).value;
    this->changes = description_diff(this->in_force, after);
    auto faults = transition_faults(this->in_force, after, submitted_name);
    if (!faults.empty()) {
        auto out = this->answer(change_outcome::invalid, "");
        out.faults = std::move(faults);
        return out;
    }
    auto dangers = description_dangers(this->in_force, after, this->request.load);
    if (!dangers.empty() && !this->request.force) {
        auto out = this->answer(change_outcome::dangerous, "");
        out.dangers = std::move(dangers);
        return out;
    }
    if (this->request.dry_run) {
        auto out = this->answer(change_outcome::checked, "");
        out.dangers = std::move(dangers);
        return out;
    }
    return this->propose(std::move(toml), now);
}

change_step configuration_change::propose(std::string toml, monotonic_time now)
{
    if (now >= this->request.deadline) {
        return this->answer(change_outcome::not_accepted,
                            "The deadline passed; nothing was written.");
    }
    const auto version = version_in_force(this->known_history) + 1;
    const auto history = with_record(this->known_history, {.version = version,
                                                           .writer = this->request.writer,
                                                           .changed_by = this->request.changed_by,
                                                           .reason = this->request.reason,
                                                           .changed_at = this->request.requested_at,
                                                           .toml = std::move(toml)});
    auto encoded = encode(history);
    if (encoded.size() > max_history_bytes) {
        auto out = this->answer(change_outcome::invalid, "");
        out.faults.push_back(too_large_fault(encoded.size()));
        return out;
    }
    if (!decode_history(encoded)) {
        return this->answer(change_outcome::not_accepted, invalid_utf8_text);
    }
    this->proposal = std::move(encoded);
    this->proposed_version = version;
    return this->write(now);
}

change_step configuration_change::resolve(const stored_value& present, monotonic_time now)
{
    const auto history = decode_history(present.value);
    if (!history) {
        return this->answer(change_outcome::unknown, malformed_history_text);
    }
    const auto* record = find_version(*history, this->proposed_version);
    if (record != nullptr && record->writer == this->request.writer) {
        auto out = this->answer(change_outcome::accepted, "");
        out.version = this->proposed_version;
        out.accepted = present;
        return out;
    }
    if (record != nullptr) {
        return this->on_superseded(present, now);
    }
    if (present.revision != this->base_value.revision) {
        return this->answer(change_outcome::unknown, history_lost_text);
    }
    if (now < this->request.deadline) {
        return this->write(now);
    }
    return this->answer(change_outcome::unknown, unknown_text);
}

change_step configuration_change::on_superseded(const stored_value& present, monotonic_time now)
{
    this->proposal.clear();
    ++this->attempts;
    if (this->attempts < max_attempts) {
        return this->plan(present, now);
    }
    return this->answer(
        change_outcome::not_accepted,
        "Concurrent changes were accepted first in each attempt; nothing was written.");
}

change_answer configuration_change::answer(change_outcome outcome, std::string detail) const
{
    change_answer out;
    out.outcome = outcome;
    out.version = version_in_force(this->known_history);
    out.changes = this->changes;
    out.detail = std::move(detail);
    return out;
}

change_answer configuration_change::conflict(std::uint64_t based_on) const
{
    auto out = this->answer(change_outcome::conflict, "");
    const auto* read_version = find_version(this->known_history, based_on);
    if (this->known_history.empty() || (read_version == nullptr && based_on != 0)) {
        out.detail = "Version " + std::to_string(based_on) +
                     " is not in the history; read the description and apply again.";
        return out;
    }
    const auto before = read_version == nullptr ? description{} : parse(*read_version).value;
    out.changed_meanwhile = description_diff(before, this->in_force);
    const auto& latest = this->known_history.back();
    out.detail = "Version " + std::to_string(latest.version) + " by '" + latest.changed_by +
                 "' is in force (reason: " + latest.reason + "). Read it and apply again.";
    return out;
}

} // namespace figreach
