#include "figreach/server_gate.h"

#include <algorithm>
#include <set>

#include "property.h"

using namespace figreach;

namespace {

constexpr monotonic_time start{seconds{100}};
constexpr monotonic_time far{seconds{1000}};

gate_request request(ticket id, const char* tenant = "t", std::uint32_t shed_order = 0,
                     milliseconds allowed = seconds{10})
{
    return {.id = id, .tenant = {tenant}, .shed_order = shed_order, .deadline = start + allowed};
}

/// A gate whose server is warm.
server_gate warm_gate(gate_settings settings = {})
{
    server_gate out{settings};
    const auto ready = out.set_authority({.until = far}, start);
    CHECK_TRUE(ready.empty());
    return out;
}

void fill(server_gate& gate, std::uint32_t count, const char* tenant = "t",
          std::uint32_t shed_order = 0, ticket first = 1000)
{
    for (std::uint32_t i = 0; i < count; ++i) {
        static_cast<void>(gate.arrive(request(first + i, tenant, shed_order), start));
    }
}

std::string text_of(const gate_decisions& decisions)
{
    struct visitor {
        std::string operator()(const gate_start& one) const
        {
            return "start " + std::to_string(one.id);
        }
        std::string operator()(const gate_wait& one) const
        {
            return "wait " + std::to_string(one.id);
        }
        std::string operator()(const gate_refuse& one) const
        {
            return std::string{name_of(one.kind)} + " " + std::to_string(one.id);
        }
    };
    std::string out;
    for (const auto& one : decisions) {
        out += (out.empty() ? "" : ", ") + std::visit(visitor{}, one);
    }
    return out;
}

struct arrival_row {
    const char* name = nullptr;
    void (*prepare)(server_gate&) = nullptr;
    gate_request arriving;
    const char* decisions = nullptr;
};

const arrival_row arrival_rows[] = {
    {"free", [](server_gate&) {}, request(1), "start 1"},
    {"busy", [](server_gate& g) { fill(g, 4); }, request(1), "wait 1"},
    {"late", [](server_gate&) {}, request(1, "t", 0, milliseconds{0}), "deadline_expired 1"},
    {"would wait beyond its deadline", [](server_gate& g) { fill(g, 8); },
     request(1, "t", 0, milliseconds{5}), "overloaded 1"},
    {"queue full", [](server_gate& g) { fill(g, 12); }, request(1), "queue_full 1"},
    {"better class displaces", [](server_gate& g) { fill(g, 12, "t", 2); }, request(1),
     "queue_full 1011, wait 1"},
    {"worse class does not", [](server_gate& g) { fill(g, 12); }, request(1, "t", 2),
     "queue_full 1"},
    {"other tenant displaces the greedy one", [](server_gate& g) { fill(g, 12); }, request(1, "u"),
     "tenant_over_limit 1011, wait 1"},
    {"greedy tenant does not displace",
     [](server_gate& g) {
         fill(g, 11);
         fill(g, 1, "u", 0, 2000);
     },
     request(1), "tenant_over_limit 1"},
    {"no authority",
     [](server_gate& g) { static_cast<void>(g.set_authority({.until = start}, start)); },
     request(1), "no_owner 1"},
    {"leaving",
     [](server_gate& g) {
         static_cast<void>(g.set_authority({.until = far, .takes_new_work = false}, start));
     },
     request(1), "no_owner 1"},
    {"all slots in use elsewhere",
     [](server_gate& g) {
         static_cast<void>(g.set_authority({.until = far, .in_flight_elsewhere = 4}, start));
     },
     request(1), "wait 1"},
    {"cold",
     [](server_gate& g) {
         static_cast<void>(g.set_authority({.until = far, .cold = true}, start));
         fill(g, 1);
     },
     request(1), "wait 1"},
    {"new incarnation",
     [](server_gate& g) {
         static_cast<void>(g.set_authority({.until = far, .incarnation = 1}, start));
         static_cast<void>(g.set_authority({.until = far, .incarnation = 2}, start));
         fill(g, 1);
     },
     request(1), "wait 1"},
    {"first sight of a server",
     [](server_gate& g) {
         static_cast<void>(g.set_authority({.until = far, .incarnation = 1}, start));
         fill(g, 1);
     },
     request(1), "start 1"},
    {"first sight, half of the slots in use",
     [](server_gate& g) {
         static_cast<void>(g.set_authority({.until = far, .incarnation = 1}, start));
         fill(g, 2);
     },
     request(1), "wait 1"},
    {"after a lost connection",
     [](server_gate& g) {
         fill(g, 2);
         static_cast<void>(g.finish(1000, gate_ending::failed, milliseconds{1}, start));
     },
     request(1), "wait 1"},
    {"after the server shed",
     [](server_gate& g) {
         fill(g, 1);
         static_cast<void>(g.finish(1000, gate_ending::refused, milliseconds{1}, start));
     },
     request(1), "wait 1"},
};

/// Reference implementation of the order of starts, without classes, limits or shedding.
class reference_gate {
public:
    explicit reference_gate(std::uint32_t slots_) : slots{slots_} {}

    bool arrive(ticket id, monotonic_time now)
    {
        if (now < this->until && this->waiting.empty() &&
            this->running.size() + this->elsewhere < this->slots) {
            this->running.insert(id);
            return true;
        }
        if (now < this->until) {
            this->waiting.push_back(id);
        }
        return false;
    }

    std::vector<ticket> start_waiting(monotonic_time now)
    {
        std::vector<ticket> out;
        while (now < this->until && !this->waiting.empty() &&
               this->running.size() + this->elsewhere < this->slots) {
            out.push_back(this->waiting.front());
            this->running.insert(this->waiting.front());
            this->waiting.erase(this->waiting.begin());
        }
        if (now >= this->until) {
            this->waiting.clear();
        }
        return out;
    }

    std::uint32_t slots;
    std::uint32_t elsewhere = 0;
    monotonic_time until = far;
    std::set<ticket> running;
    std::vector<ticket> waiting;
};

std::vector<ticket> started_by(const gate_decisions& decisions)
{
    std::vector<ticket> out;
    for (const auto& one : decisions) {
        if (const auto* started = std::get_if<gate_start>(&one)) {
            out.push_back(started->id);
        }
    }
    return out;
}

} // namespace

TEST_GROUP(server_gate_test){};

TEST(server_gate_test, decides_each_arrival)
{
    for (const auto& row : arrival_rows) {
        auto gate = warm_gate({.max_queue_length = 8});
        row.prepare(gate);
        const auto decisions = gate.arrive(row.arriving, start);
        STRCMP_EQUAL_TEXT(row.decisions, text_of(decisions).c_str(), row.name);
    }
}

TEST(server_gate_test, admits_like_the_naive_gate)
{
    CHECK_PROPERTY("same starts", [](const std::vector<std::uint16_t>& choices) {
        auto gate = warm_gate({.max_queue_length = 100000});
        reference_gate reference{4};
        auto now = start;
        ticket next = 0;
        for (const auto choice : choices) {
            const auto argument = choice / 4;
            std::vector<ticket> expected;
            gate_decisions decisions;
            if (choice % 4 < 2) {
                const gate_request one{.id = ++next, .tenant = {"t"}, .deadline = far};
                decisions = gate.arrive(one, now);
                expected = reference.start_waiting(now);
                if (reference.arrive(next, now)) {
                    expected.push_back(next);
                }
            }
            else if (choice % 4 == 2 && !reference.running.empty()) {
                auto which = reference.running.begin();
                std::advance(which, argument % reference.running.size());
                decisions = gate.finish(*which, gate_ending::cancelled, milliseconds{1}, now);
                reference.running.erase(which);
                expected = reference.start_waiting(now);
            }
            else {
                now += milliseconds{argument % 50};
                reference.elsewhere = argument % 6;
                reference.until = now + milliseconds{argument % 70};
                decisions = gate.set_authority(
                    {.until = reference.until, .in_flight_elsewhere = reference.elsewhere}, now);
                expected = reference.start_waiting(now);
            }
            RC_ASSERT(started_by(decisions) == expected);
            RC_ASSERT(gate.running() == reference.running.size());
            RC_ASSERT(gate.waiting() == reference.waiting.size());
        }
    });
}

TEST(server_gate_test, shares_starts_by_tenant_weight)
{
    auto gate = warm_gate();
    fill(gate, 4, "x");
    for (ticket id = 0; id < 20; ++id) {
        auto light = request(100 + id, "light");
        auto heavy = request(200 + id, "heavy");
        heavy.weight = 3;
        static_cast<void>(gate.arrive(light, start));
        static_cast<void>(gate.arrive(heavy, start));
    }
    std::uint32_t heavy_starts = 0;
    constexpr std::uint32_t turns = 16;
    ticket running = 1000;
    for (std::uint32_t i = 0; i < turns; ++i) {
        const auto next =
            started_by(gate.finish(running, gate_ending::cancelled, milliseconds{1}, start));
        CHECK_EQUAL(1, next.size());
        running = next.front();
        heavy_starts += running >= 200 ? 1 : 0;
    }
    CHECK_EQUAL(12, heavy_starts);
}

TEST(server_gate_test, a_tenant_that_waits_one_by_one_gets_its_share_and_no_more)
{
    auto gate = warm_gate();
    fill(gate, 4, "x");
    fill(gate, 40, "steady", 0, 2000);
    ticket single = 1;
    static_cast<void>(gate.arrive(request(single, "single"), start));
    std::uint32_t singles = 0;
    ticket running = 1000;
    constexpr std::uint32_t turns = 20;
    for (std::uint32_t i = 0; i < turns; ++i) {
        running =
            started_by(gate.finish(running, gate_ending::cancelled, milliseconds{1}, start)).at(0);
        if (running < 1000) {
            ++singles;
            static_cast<void>(gate.arrive(request(++single, "single"), start));
        }
    }
    CHECK_TRUE(singles >= turns / 2 - 1 && singles <= turns / 2 + 1);
}

TEST(server_gate_test, cold_cap_grows_with_good_answers_and_falls_when_latency_says_so)
{
    server_gate gate{{}};
    auto now = start;
    static_cast<void>(gate.set_authority({.until = far, .incarnation = 1}, now));
    ticket next = 0;
    const auto answer = [&gate, &now, &next](milliseconds latency) {
        const gate_request one{.id = ++next, .tenant = {"t"}, .deadline = far};
        static_cast<void>(gate.arrive(one, now));
        now += milliseconds{100};
        static_cast<void>(gate.finish(next, gate_ending::answered, latency, now));
    };
    std::set<std::uint32_t> caps{gate.limit()};
    constexpr int enough = 60;
    for (int i = 0; i < enough; ++i) {
        answer(milliseconds{5});
        caps.insert(gate.limit());
    }
    CHECK_TRUE((caps == std::set<std::uint32_t>{2, 3, 4}));
    gate.note_incarnation(2, now);
    CHECK_EQUAL(1, gate.limit());
    for (int i = 0; i < enough / 2; ++i) {
        answer(milliseconds{5});
    }
    CHECK_TRUE(gate.limit() > 1);
    for (int i = 0; i < 3; ++i) {
        answer(milliseconds{100});
    }
    CHECK_EQUAL(1, gate.limit());
}

TEST(server_gate_test, believes_a_claim_to_be_cold_for_a_bounded_time)
{
    concurrency_limit limit{{}};
    auto now = start;
    limit.set_cold_claim(true, now);
    for (const auto& [until, most] : {std::pair{seconds{59}, 1U}, std::pair{seconds{120}, 4U}}) {
        while (now < start + until) {
            now += milliseconds{50};
            limit.on_answer(milliseconds{5}, now);
        }
        CHECK_EQUAL(most, limit.limit());
    }
}

TEST(server_gate_test, adaptive_limit_falls_with_latency_and_comes_back)
{
    concurrency_limit limit{{}};
    const auto answers = [&limit](int count, milliseconds latency) {
        for (int i = 0; i < count; ++i) {
            limit.on_answer(latency, start);
        }
    };
    answers(100, milliseconds{5});
    CHECK_EQUAL(4, limit.limit());
    answers(30, milliseconds{50});
    CHECK_TRUE(limit.limit() < 3);
    CHECK_TRUE(limit.limit() >= 1);
    answers(100, milliseconds{5});
    CHECK_EQUAL(4, limit.limit());
}

TEST(server_gate_test, retry_after_follows_the_queue)
{
    auto short_queue = warm_gate({.max_queue_length = 1});
    auto long_queue = warm_gate({.max_queue_length = 200});
    for (auto* gate : {&short_queue, &long_queue}) {
        fill(*gate, 4);
        static_cast<void>(gate->finish(1000, gate_ending::answered, milliseconds{200}, start));
        fill(*gate, 201, "t", 0, 2000);
    }
    const auto wait = [](server_gate& gate) {
        return std::get<gate_refuse>(gate.arrive(request(1), start).at(0)).retry_after;
    };
    CHECK_TRUE(wait(short_queue) < wait(long_queue));
}
