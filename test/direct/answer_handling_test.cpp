#include "figreach/direct/answer_handling.h"

#include "../property.h"

using namespace figreach;
using namespace figreach::direct;

namespace {

std::string text_of(const answer_handling& handling)
{
    struct visitor {
        std::string operator()(const relay_answer&) const { return "relay"; }
        std::string operator()(const retry_or_relay&) const { return "retry"; }
        std::string operator()(const replace_answer& one) const
        {
            return std::string{name_of(one.kind)};
        }
    };
    return std::visit(visitor{}, handling);
}

struct handling_row {
    unsigned status;
    execution_claim claim;
    const char* order; ///< handling if the request is not idempotent
    const char* read;  ///< handling if it is
    bool failure;
};

const handling_row handling_rows[] = {
    {200, execution_claim::none, "relay", "relay", false},
    {409, execution_claim::none, "relay", "relay", false},
    {408, execution_claim::unconfirmed, "unconfirmed_refusal", "relay", true},
    {421, execution_claim::unconfirmed, "unconfirmed_refusal", "relay", true},
    {429, execution_claim::unconfirmed, "unconfirmed_refusal", "relay", true},
    {503, execution_claim::unconfirmed, "unconfirmed_refusal", "retry", true},
    {500, execution_claim::none, "relay", "retry", true},
    {504, execution_claim::none, "relay", "retry", true},
};

} // namespace

TEST_GROUP(answer_handling_test){};

/// Guards against telling the caller of an order that it has not run when its server did not.
TEST(answer_handling_test, only_a_confirmed_refusal_of_an_order_is_reported_as_one)
{
    for (const auto& row : handling_rows) {
        const auto name = std::to_string(row.status);
        STRCMP_EQUAL_TEXT(row.order, text_of(handle_answer(row.status, row.claim, false)).c_str(),
                          name.c_str());
        STRCMP_EQUAL_TEXT(row.read, text_of(handle_answer(row.status, row.claim, true)).c_str(),
                          name.c_str());
        CHECK_EQUAL_TEXT(row.failure, is_failure(row.status, row.claim), name.c_str());
    }
}

/// An error that replaces an answer must not promise anything either.
TEST(answer_handling_test, a_replaced_answer_leaves_open_whether_the_request_ran)
{
    for (const auto& row : handling_rows) {
        const auto handling = handle_answer(row.status, row.claim, false);
        if (const auto* replaced = std::get_if<replace_answer>(&handling)) {
            CHECK_TRUE(answer_of(replaced->kind).ran == run_state::unknown);
        }
    }
}
