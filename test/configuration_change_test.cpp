#include "figreach/configuration_change.h"

#include <random>

#include "configuration_simulation.h"
#include "property.h"

using namespace figreach;
using configuration_simulation::simulation;
using configuration_simulation::variant;

namespace {

std::string changed_text(const std::string& weight)
{
    return with(sample_description(), "name = \"pelita\"", "name = \"pelita\"\nweight = " + weight);
}

std::vector<configuration_edit> three_operators()
{
    return {set_domain_state{.name = {"a"}, .state = service_state::out},
            replace_description{.toml = changed_text("7"), .based_on = 1},
            set_server_state{.name = {"s2"}, .state = service_state::out},
            replace_description{.toml = changed_text("9"), .based_on = 1}};
}

/// Whether any of many runs with random faults produces an error.
bool any_run_fails(variant kind)
{
    constexpr int runs = 400;
    constexpr std::size_t script_length = 120;
    std::mt19937 random{20261203};
    for (int i = 0; i < runs; ++i) {
        std::vector<std::uint8_t> script(script_length);
        for (auto& byte : script) {
            byte = static_cast<std::uint8_t>(random());
        }
        if (!simulation{three_operators(), script, kind}.run().empty()) {
            return true;
        }
    }
    return false;
}

change_request request_for(configuration_edit edit)
{
    change_request out;
    out.edit = std::move(edit);
    out.writer = "w";
    out.changed_by = "ann";
    out.deadline = monotonic_time{seconds{10}};
    return out;
}

stored_value stored(const description_history& history, std::int64_t revision)
{
    return {.key = std::string{description_key}, .value = encode(history), .revision = revision};
}

description_record record(std::uint64_t version, std::string writer, std::string toml)
{
    return {.version = version,
            .writer = std::move(writer),
            .changed_by = "ben",
            .reason = "class sizes",
            .changed_at = {},
            .toml = std::move(toml)};
}

/// The answer to a change that reads this history and must not write.
change_answer answer_after_read(const change_request& request, const stored_value& present)
{
    configuration_change change{request};
    auto step = change.start({});
    if (std::holds_alternative<change_call>(step)) {
        step = change.on_answer(store_read{{present}}, {});
    }
    const auto* done = std::get_if<change_answer>(&step);
    CHECK_TRUE_TEXT(done != nullptr, "the change is answered after its first read");
    return done == nullptr ? change_answer{} : *done;
}

struct answer_row {
    const char* name;
    configuration_edit edit;
    change_outcome outcome;
    const char* text; ///< substring of the answer
};

const answer_row answer_rows[] = {
    {"version read is not in force", replace_description{sample_description(), 1},
     change_outcome::conflict, "tenant 'pelita'.weight: 1 -> 7"},
    {"version read was dropped", replace_description{sample_description(), 9},
     change_outcome::conflict, "Version 9 is not in the history"},
    {"faulty text", replace_description{"[[tenant]]", 2}, change_outcome::invalid, "a string"},
    {"unknown domain", set_domain_state{{"z"}, service_state::out}, change_outcome::invalid,
     "a | b | c"},
    {"unknown server", set_server_state{{"z"}, service_state::out}, change_outcome::invalid,
     "s1 | s2"},
    {"domain is in", set_domain_state{{"b"}, service_state::in}, change_outcome::unchanged,
     "is already in this state"},
    {"could give a key two owners",
     replace_description{with(sample_description(), "127.0.0.1:9001", "127.0.0.1:9009"), 2},
     change_outcome::invalid, "until the server is drained"},
    {"removes a service in use", replace_description{"", 2}, change_outcome::dangerous,
     "service 'lessons' is in use"},
};

std::string all_lines(const change_answer& answer)
{
    auto out = answer.detail + to_text(answer.faults);
    for (const auto* lines : {&answer.changed_meanwhile, &answer.dangers}) {
        for (const auto& line : *lines) {
            out += "\n" + line;
        }
    }
    return out;
}

/// The store's answers from the first write on, and the expected outcome. No outcome means that the
/// change continues.
struct write_row {
    const char* name;
    std::vector<store_result> answers; ///< from the write on
    std::optional<change_outcome> outcome;
};

const auto base = description_history{record(1, "first", sample_description())};

description_history base_and(description_record next)
{
    auto out = base;
    out.push_back(std::move(next));
    return out;
}

std::vector<write_row> write_rows()
{
    const auto ours = stored(base_and(record(2, "w", changed_text("7"))), 8);
    const auto theirs = stored(base_and(record(2, "x", changed_text("9"))), 8);
    const auto dropped = stored({record(5, "x", changed_text("9"))}, 12);
    const auto unchanged = stored(base, 7);
    auto later = base_and(record(2, "w", changed_text("7")));
    later.push_back(record(3, "x", changed_text("9")));
    return {
        {"written", {store_written{8}}, change_outcome::accepted},
        {"another came first", {store_conflict{theirs}}, change_outcome::conflict},
        {"lost, in the history", {store_no_answer{}, store_read{{ours}}}, change_outcome::accepted},
        {"lost, another version on top",
         {store_no_answer{}, store_read{{stored(later, 9)}}},
         change_outcome::accepted},
        {"lost, another came first",
         {store_no_answer{}, store_read{{theirs}}},
         change_outcome::conflict},
        {"lost, not there yet: written again",
         {store_no_answer{}, store_read{{unchanged}}, store_written{8}},
         change_outcome::accepted},
        {"lost, the first write landed late",
         {store_no_answer{}, store_read{{unchanged}}, store_conflict{ours}},
         change_outcome::accepted},
        {"lost, its version is no longer kept",
         {store_no_answer{}, store_read{{dropped}}},
         change_outcome::unknown},
        {"lost, history emptied", {store_no_answer{}, store_read{}}, change_outcome::unknown},
        {"lost, no answer so far", {store_no_answer{}, store_no_answer{}}, std::nullopt},
    };
}

} // namespace

TEST_GROUP(configuration_change_test){};

TEST(configuration_change_test, answers_are_truthful_and_nothing_is_lost_under_any_faults)
{
    CHECK_PROPERTY("changes under faults", [](const std::vector<std::uint8_t>& script) {
        const auto errors = simulation{three_operators(), script, variant::correct}.run();
        RC_ASSERT(errors == std::string{});
    });
    CHECK_FALSE(any_run_fails(variant::correct));
}

TEST(configuration_change_test, the_checks_catch_broken_variants)
{
    CHECK(any_run_fails(variant::blind_put));
    CHECK(any_run_fails(variant::no_read_again));
    CHECK(any_run_fails(variant::absent_is_refused));
}

TEST(configuration_change_test, edits_of_two_operators_both_take_effect)
{
    simulation both{{set_domain_state{.name = {"a"}, .state = service_state::out},
                     set_domain_state{.name = {"c"}, .state = service_state::out}},
                    {0, 0, 1, 0, 0, 0, 1, 0}, // both read before either writes
                    variant::correct};
    STRCMP_EQUAL("", both.run().c_str());
    const auto last = parse_description(both.accepted_records.back().toml, "").value;
    CHECK(find_failure_domain(last, {"a"})->state == service_state::out);
    CHECK(find_failure_domain(last, {"c"})->state == service_state::out);
}

TEST(configuration_change_test, tells_why_nothing_is_written)
{
    const auto present =
        stored({record(1, "first", sample_description()), record(2, "x", changed_text("7"))}, 8);
    for (const auto& row : answer_rows) {
        const auto answer = answer_after_read(request_for(row.edit), present);
        LONGS_EQUAL_TEXT(static_cast<int>(row.outcome), static_cast<int>(answer.outcome), row.name);
        STRCMP_CONTAINS_TEXT(row.text, all_lines(answer).c_str(), row.name);
    }
}

TEST(configuration_change_test, resolves_each_answer_to_a_write)
{
    for (const auto& row : write_rows()) {
        configuration_change change{request_for(replace_description{changed_text("7"), 1})};
        (void)change.start({});
        auto step = change.on_answer(store_read{{stored(base, 7)}}, {});
        for (const auto& answer : row.answers) {
            CHECK_TRUE_TEXT(std::holds_alternative<change_call>(step), row.name);
            step = change.on_answer(answer, {});
        }
        const auto* done = std::get_if<change_answer>(&step);
        CHECK_TRUE_TEXT((done != nullptr) == row.outcome.has_value(), row.name);
        if (done != nullptr) {
            LONGS_EQUAL_TEXT(static_cast<int>(*row.outcome), static_cast<int>(done->outcome),
                             row.name);
        }
    }
}

TEST(configuration_change_test, a_store_that_is_down_refuses_before_and_leaves_open_after_a_write)
{
    const auto request = request_for(set_domain_state{{"a"}, service_state::out});
    configuration_change unread{request};
    (void)unread.start({});
    const auto refused =
        std::get<change_answer>(unread.on_answer(store_no_answer{}, request.deadline));
    CHECK(refused.outcome == change_outcome::not_accepted);
    STRCMP_CONTAINS("nothing was written", refused.detail.c_str());
    configuration_change written{request};
    (void)written.start({});
    (void)written.on_answer(store_read{{stored(base, 7)}}, {});
    const auto open =
        std::get<change_answer>(written.on_answer(store_no_answer{}, request.deadline));
    CHECK(open.outcome == change_outcome::unknown);
}

TEST(configuration_change_test, a_dry_run_writes_nothing_and_force_overrides_a_danger)
{
    auto request = request_for(replace_description{"", 1});
    request.force = true;
    request.dry_run = true;
    const auto checked = answer_after_read(request, stored(base, 7));
    CHECK(checked.outcome == change_outcome::checked);
    CHECK(!checked.dangers.empty());
    request.dry_run = false;
    configuration_change forced{request};
    (void)forced.start({});
    const auto step = forced.on_answer(store_read{{stored(base, 7)}}, {});
    CHECK(std::holds_alternative<compare_and_swap>(std::get<change_call>(step).call));
}

TEST(configuration_change_test, never_writes_a_history_that_cannot_be_read)
{
    auto request = request_for(replace_description{changed_text("7"), 1});
    request.reason = "\xff";
    const auto answer = answer_after_read(request, stored(base, 7));
    CHECK(answer.outcome == change_outcome::not_accepted);
    STRCMP_CONTAINS("UTF-8", answer.detail.c_str());
}

TEST(configuration_change_test, a_description_that_the_store_cannot_hold_is_a_fault)
{
    const auto large = sample_description() + "#" + std::string(max_history_bytes, 'x') + "\n";
    const auto answer =
        answer_after_read(request_for(replace_description{large, 1}), stored(base, 7));
    CHECK(answer.outcome == change_outcome::invalid);
    STRCMP_EQUAL("at most 900000 bytes", answer.faults.at(0).allowed.c_str());
}
