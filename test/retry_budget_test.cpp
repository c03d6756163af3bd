#include "figreach/retry_budget.h"

#include "property.h"

using namespace figreach;

namespace {

/// Recomputes the whole history in fractions for each question.
class naive_budget {
public:
    explicit naive_budget(retry_budget_settings settings_) : settings{settings_} {}

    void earn() { this->history.push_back(true); }

    bool spend()
    {
        if (this->replayed() < 100) {
            return false;
        }
        this->history.push_back(false);
        return true;
    }

private:
    std::uint64_t replayed() const
    {
        const auto most = std::uint64_t{this->settings.max_retries} * 100;
        auto saved = most;
        for (const bool earned : this->history) {
            saved = earned ? std::min(most, saved + this->settings.percent) : saved - 100;
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
                                      std::uint8_t percent, std::uint8_t most) {
        const retry_budget_settings settings{.percent = percent, .max_retries = most};
        retry_budget budget{settings};
        naive_budget naive{settings};
        for (const auto choice : choices) {
            if (choice % 3 != 0) {
                budget.earn();
                naive.earn();
                continue;
            }
            RC_ASSERT(budget.spend() == naive.spend());
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
    // The first request finds the budget full, so that it earns nothing.
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
