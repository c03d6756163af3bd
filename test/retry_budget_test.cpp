#include "figreach/retry_budget.h"

#include "property.h"

using namespace figreach;

namespace {

/// Reference implementation: recomputes the budget from the whole history for each call.
class reference_budget {
public:
    explicit reference_budget(retry_budget_settings settings_) : settings{settings_} {}

    void earn() { this->history.push_back(true); }

    bool spend()
    {
        if (this->replay() < 100) {
            return false;
        }
        this->history.push_back(false);
        return true;
    }

private:
    std::uint64_t replay() const
    {
        const auto capacity = std::uint64_t{this->settings.max_retries} * 100;
        auto saved = capacity;
        for (const bool earned : this->history) {
            saved = earned ? std::min(capacity, saved + this->settings.percent) : saved - 100;
        }
        return saved;
    }

    retry_budget_settings settings;
    std::vector<bool> history;
};

} // namespace

TEST_GROUP(retry_budget_test){};

TEST(retry_budget_test, is_exactly_the_naive_budget)
{
    CHECK_PROPERTY("same answers", [](const std::vector<std::uint8_t>& choices,
                                      std::uint8_t percent, std::uint8_t capacity) {
        const retry_budget_settings settings{.percent = percent, .max_retries = capacity};
        retry_budget budget{settings};
        reference_budget reference{settings};
        for (const auto choice : choices) {
            if (choice % 3 != 0) {
                budget.earn();
                reference.earn();
                continue;
            }
            RC_ASSERT(budget.spend() == reference.spend());
        }
    });
}

TEST(retry_budget_test, bounds_retries_to_a_share_of_the_traffic)
{
    const retry_budget_settings settings{.percent = 10, .max_retries = 20};
    retry_budget budget{settings};
    constexpr std::uint32_t requests = 10000;
    std::uint32_t retries = 0;
    for (std::uint32_t i = 0; i < requests; ++i) {
        budget.earn();
        while (budget.spend()) {
            ++retries;
        }
    }
    // The budget is full at the start, so the first request earns nothing.
    CHECK_EQUAL((requests - 1) / 10 + settings.max_retries, retries);
}

TEST(retry_budget_test, backoff_stays_within_its_bounds)
{
    CHECK_PROPERTY("bounds", [](std::uint8_t retry, std::uint64_t random) {
        const backoff_settings settings{};
        const auto delay = jittered_backoff(settings, retry, random);
        RC_ASSERT(delay >= settings.first / 2);
        RC_ASSERT(delay <= settings.longest);
    });
}
