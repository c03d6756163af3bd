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

/// Several operators change one description in virtual time, over a store that loses answers,
/// drops calls and lets writes land late.
namespace configuration_world {

using namespace figreach;

/// The change under test, or one with a deliberate error that the checks must find.
enum class variant {
    correct,
    blind_put,         ///< the store writes whatever the revision
    no_read_again,     ///< a lost answer is taken for a refusal
    absent_is_refused, ///< a write that a read does not show yet is taken for refused
};

struct world_operator {
    configuration_edit edit;
    std::string writer;
    std::optional<configuration_change> change;
    change_step step;
    bool lost_write = false;
    std::optional<change_answer> done;
};

class world {
public:
    world(std::vector<configuration_edit> edits, std::vector<std::uint8_t> script_, variant kind_)
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
            this->add(std::move(edit));
        }
    }

    /// Runs until each operator has an answer and every late write has landed, then says what was
    /// wrong; empty when nothing was.
    std::string run()
    {
        while (this->unfinished() > 0) {
            this->advance();
        }
        while (!this->late.empty()) {
            this->land_late();
        }
        for (const auto& one : this->operators) {
            this->check(one);
        }
        this->check_ledger();
        return this->wrong;
    }

    std::vector<world_operator> operators;
    std::vector<description_record> ledger; ///< every record that was ever in force

private:
    enum class fate { answered, answer_lost, dropped, late };

    void add(configuration_edit edit)
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

    std::uint8_t choice()
    {
        return this->next < this->script.size() ? this->script[this->next++] : 0;
    }

    void advance()
    {
        constexpr milliseconds step_time{40};
        this->now += step_time;
        const bool land = !this->late.empty() && this->choice() % 4 == 1;
        if (land) {
            this->land_late();
            return;
        }
        auto index = this->choice() % this->unfinished();
        for (auto& one : this->operators) {
            if (!one.done && index-- == 0) {
                this->serve(one);
                return;
            }
        }
    }

    void serve(world_operator& one)
    {
        const auto* call = std::get_if<change_call>(&one.step);
        if (call == nullptr) {
            one.done = std::get<change_answer>(one.step);
            return;
        }
        this->now = std::max(this->now, call->not_before);
        static constexpr fate fates[] = {fate::answered,    fate::answered, fate::answered,
                                         fate::answer_lost, fate::dropped,  fate::late};
        const auto what = fates[this->choice() % std::size(fates)];
        const auto result = this->carry_out(call->call, what);
        const bool was_write = std::holds_alternative<compare_and_swap>(call->call);
        this->take(one, result, was_write);
    }

    void take(world_operator& one, const store_result& result, bool was_write)
    {
        const bool silent = std::holds_alternative<store_no_answer>(result);
        one.lost_write = one.lost_write || (was_write && silent);
        const bool refuse_now = this->kind == variant::no_read_again && one.lost_write;
        const bool refuse_on_read = this->kind == variant::absent_is_refused && one.lost_write &&
                                    std::holds_alternative<store_read>(result) &&
                                    !this->in_store(one.writer);
        if (refuse_now || refuse_on_read) {
            one.done = change_answer{};
            one.done->outcome = change_outcome::not_accepted;
            return;
        }
        one.step = one.change->on_answer(result, this->now);
    }

    store_result carry_out(const store_call& call, fate what)
    {
        const auto* write = std::get_if<compare_and_swap>(&call);
        if (what == fate::late && write != nullptr) {
            this->late.push_back(*write);
        }
        if (what == fate::late || what == fate::dropped) {
            return store_no_answer{"silent"};
        }
        const auto result =
            write == nullptr ? store_result{store_read{{this->store}}} : this->compare(*write);
        return what == fate::answered ? result : store_result{store_no_answer{"lost"}};
    }

    store_result compare(const compare_and_swap& write)
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
        this->ledger.push_back(decode_history(this->store.value)->back());
    }

    void land_late()
    {
        const auto write = this->late.front();
        this->late.erase(this->late.begin());
        (void)this->compare(write);
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
        for (const auto& record : this->ledger) {
            if (record.writer == writer) {
                return &record;
            }
        }
        return nullptr;
    }

    void note(const std::string& what) { this->wrong += what + "\n"; }

    void check(const world_operator& one)
    {
        const auto* record = this->recorded(one.writer);
        const bool accepted = one.done->outcome == change_outcome::accepted;
        const bool unknown = one.done->outcome == change_outcome::unknown;
        if (accepted && (record == nullptr || record->version != one.done->version)) {
            this->note(one.writer + ": told accepted, but it is not in the history");
        }
        if (!accepted && !unknown && record != nullptr) {
            this->note(one.writer + ": told that it was not accepted, but it is in the history");
        }
        const auto* whole = std::get_if<replace_description>(&one.edit);
        if (record != nullptr && whole != nullptr && record->version != whole->based_on + 1) {
            this->note(one.writer + ": replaced a version that the operator had not read");
        }
        if (record != nullptr && whole == nullptr) {
            this->check_single_edit(*record);
        }
    }

    /// A change of one state changes nothing else in the version before it.
    void check_single_edit(const description_record& record)
    {
        for (const auto& before : this->ledger) {
            if (before.version + 1 != record.version) {
                continue;
            }
            const auto changes = description_diff(parse_description(before.toml, "").value,
                                                  parse_description(record.toml, "").value);
            if (changes.size() != 1) {
                this->note(record.writer + ": a change of one state changed " +
                           std::to_string(changes.size()) + " fields");
            }
        }
    }

    void check_ledger()
    {
        std::uint64_t version = 0;
        for (const auto& record : this->ledger) {
            if (record.version != ++version) {
                this->note("version " + std::to_string(record.version) + " after " +
                           std::to_string(version - 1));
            }
        }
        if (*decode_history(this->store.value) != this->ledger) {
            this->note("an accepted version is lost");
        }
    }

    std::vector<std::uint8_t> script;
    variant kind;
    std::size_t next = 0;
    monotonic_time now{};
    stored_value store;
    std::vector<compare_and_swap> late;
    std::string wrong;
};

} // namespace configuration_world
