#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "figreach/configuration_change.h"
#include "figreach/description_diff.h"
#include "figreach/description_parser.h"
#include "figreach/document_codec.h"
#include "figreach/history.h"
#include "sample_description.h"

/// Simulates operators that change one description concurrently in virtual time. The store loses
/// answers, drops calls and delays writes.
namespace configuration_simulation {

using namespace figreach;

/// The implementation under test, or a variant with a bug that the checks must detect.
enum class variant {
    correct,
    blind_put,         ///< the store ignores the expected revision
    no_read_again,     ///< a lost answer to a write is reported as not accepted
    absent_is_refused, ///< a write that is not visible to a read yet is reported as not accepted
};

struct simulated_operator {
    configuration_edit edit;
    std::string writer;
    std::optional<configuration_change> change;
    change_step step;
    bool lost_write = false;
    std::optional<change_answer> done;
};

class simulation {
public:
    simulation(std::vector<configuration_edit> edits, std::vector<std::uint8_t> script_,
               variant kind_)
        : script{std::move(script_)}, kind{kind_}
    {
        this->store.key = std::string{description_key};
        this->put(encode(description_history{{.version = 1,
                                              .writer = "first",
                                              .changed_by = "",
                                              .reason = "",
                                              .changed_at = {},
                                              .toml = sample_description()}}));
        for (auto& edit : edits) {
            this->add_operator(std::move(edit));
        }
    }

    /// Runs until each operator has an answer and every late write has been executed. Returns the
    /// errors found, or an empty string.
    std::string run()
    {
        while (this->unfinished() > 0) {
            this->advance();
        }
        while (!this->late_writes.empty()) {
            this->apply_late_write();
        }
        for (const auto& one : this->operators) {
            this->check(one);
        }
        this->check_accepted_records();
        return this->errors;
    }

    std::vector<simulated_operator> operators;
    std::vector<description_record> accepted_records; ///< every record that was ever in force

private:
    enum class call_outcome { answered, answer_lost, dropped, executed_late };

    void add_operator(configuration_edit edit)
    {
        constexpr milliseconds allowed{3000};
        auto& one = this->operators.emplace_back();
        one.writer = "operator-" + std::to_string(this->operators.size());
        one.edit = edit;
        one.change.emplace(change_request{.edit = std::move(edit),
                                          .writer = one.writer,
                                          .changed_by = one.writer,
                                          .reason = "",
                                          .requested_at = {},
                                          .deadline = this->now + allowed,
                                          .force = true,
                                          .dry_run = false,
                                          .load = {}});
        one.step = one.change->start(this->now);
    }

    std::size_t unfinished() const
    {
        std::size_t count = 0;
        for (const auto& one : this->operators) {
            count += one.done ? 0U : 1U;
        }
        return count;
    }

    std::uint8_t next_choice()
    {
        return this->next < this->script.size() ? this->script[this->next++] : 0;
    }

    void advance()
    {
        constexpr milliseconds step_time{40};
        this->now += step_time;
        const bool apply_late = !this->late_writes.empty() && this->next_choice() % 4 == 1;
        if (apply_late) {
            this->apply_late_write();
            return;
        }
        auto index = this->next_choice() % this->unfinished();
        for (auto& one : this->operators) {
            if (!one.done && index-- == 0) {
                this->execute_step(one);
                return;
            }
        }
    }

    void execute_step(simulated_operator& one)
    {
        const auto* call = std::get_if<change_call>(&one.step);
        if (call == nullptr) {
            one.done = std::get<change_answer>(one.step);
            return;
        }
        this->now = std::max(this->now, call->not_before);
        static constexpr call_outcome outcomes[] = {
            call_outcome::answered,    call_outcome::answered, call_outcome::answered,
            call_outcome::answer_lost, call_outcome::dropped,  call_outcome::executed_late};
        const auto outcome = outcomes[this->next_choice() % std::size(outcomes)];
        const auto result = this->execute(call->call, outcome);
        const bool was_write = std::holds_alternative<compare_and_swap>(call->call);
        this->deliver(one, result, was_write);
    }

    void deliver(simulated_operator& one, const store_result& result, bool was_write)
    {
        const bool silent = std::holds_alternative<store_no_answer>(result);
        one.lost_write = one.lost_write || (was_write && silent);
        const bool refuses_write = this->kind == variant::no_read_again && one.lost_write;
        const bool refuses_after_read =
            this->kind == variant::absent_is_refused && one.lost_write &&
            std::holds_alternative<store_read>(result) && !this->in_store(one.writer);
        if (refuses_write || refuses_after_read) {
            one.done = change_answer{};
            one.done->outcome = change_outcome::not_accepted;
            return;
        }
        one.step = one.change->on_answer(result, this->now);
    }

    store_result execute(const store_call& call, call_outcome outcome)
    {
        const auto* write = std::get_if<compare_and_swap>(&call);
        if (outcome == call_outcome::executed_late && write != nullptr) {
            this->late_writes.push_back(*write);
        }
        if (outcome == call_outcome::executed_late || outcome == call_outcome::dropped) {
            return store_no_answer{"silent"};
        }
        const auto result = write == nullptr ? store_result{store_read{{this->store}}}
                                             : this->compare_and_set(*write);
        return outcome == call_outcome::answered ? result : store_result{store_no_answer{"lost"}};
    }

    store_result compare_and_set(const compare_and_swap& write)
    {
        const bool matches = write.expected_revision == this->store.revision;
        if (!matches && this->kind != variant::blind_put) {
            return store_conflict{this->store};
        }
        this->put(write.value);
        return store_written{this->store.revision};
    }

    void put(std::string value)
    {
        this->store.value = std::move(value);
        ++this->store.revision;
        this->accepted_records.push_back(decode_history(this->store.value)->back());
    }

    void apply_late_write()
    {
        const auto write = this->late_writes.front();
        this->late_writes.erase(this->late_writes.begin());
        (void)this->compare_and_set(write);
    }

    bool in_store(const std::string& writer) const
    {
        const auto history = decode_history(this->store.value).value();
        for (const auto& record : history) {
            if (record.writer == writer) {
                return true;
            }
        }
        return false;
    }

    const description_record* recorded(const std::string& writer) const
    {
        for (const auto& record : this->accepted_records) {
            if (record.writer == writer) {
                return &record;
            }
        }
        return nullptr;
    }

    void add_error(const std::string& text) { this->errors += text + "\n"; }

    void check(const simulated_operator& one)
    {
        const auto* record = this->recorded(one.writer);
        const bool accepted = one.done->outcome == change_outcome::accepted;
        const bool unknown = one.done->outcome == change_outcome::unknown;
        if (accepted && (record == nullptr || record->version != one.done->version)) {
            this->add_error(one.writer + ": reported as accepted, but it is not in the history");
        }
        if (!accepted && !unknown && record != nullptr) {
            this->add_error(one.writer + ": reported as not accepted, but it is in the history");
        }
        const auto* whole = std::get_if<replace_description>(&one.edit);
        if (record != nullptr && whole != nullptr && record->version != whole->based_on + 1) {
            this->add_error(one.writer + ": replaced a version that the operator had not read");
        }
        if (record != nullptr && whole == nullptr) {
            this->check_single_edit(*record);
        }
    }

    /// Checks that a change of one state differs from the previous version in one field only.
    void check_single_edit(const description_record& record)
    {
        for (const auto& before : this->accepted_records) {
            if (before.version + 1 != record.version) {
                continue;
            }
            const auto changes = description_diff(parse_description(before.toml, "").value,
                                                  parse_description(record.toml, "").value);
            if (changes.size() != 1) {
                this->add_error(record.writer + ": a change of one state changed " +
                                std::to_string(changes.size()) + " fields");
            }
        }
    }

    void check_accepted_records()
    {
        std::uint64_t version = 0;
        for (const auto& record : this->accepted_records) {
            if (record.version != ++version) {
                this->add_error("version " + std::to_string(record.version) + " after " +
                                std::to_string(version - 1));
            }
        }
        if (*decode_history(this->store.value) != this->accepted_records) {
            this->add_error("an accepted version is lost");
        }
    }

    std::vector<std::uint8_t> script;
    variant kind;
    std::size_t next = 0;
    monotonic_time now{};
    stored_value store;
    std::vector<compare_and_swap> late_writes;
    std::string errors;
};

} // namespace configuration_simulation
