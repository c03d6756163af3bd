// Measures how an entry host's control work scales: membership with hosts; lookup, documents and
// plans with slices; grants and confirmations with servers; and compares validation by version with
// validation by slice.

#include <malloc.h>

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "fake_network.h"
#include "figreach/assigner.h"
#include "figreach/description_parser.h"
#include "figreach/document_codec.h"
#include "figreach/grant_codec.h"
#include "figreach/membership.h"
#include "figreach/peer_codec.h"
#include "figreach/routing.h"
#include "linear_fit.h"

namespace {

using namespace figreach;
using bench::point;
using bench::print_fit;

constexpr std::uint64_t seed = 20261203;
constexpr double micros_in_second = 1e6;
constexpr double nanos_in_second = 1e9;
const service_id lessons{"lessons"};
const partition_id lessons_0{.service = lessons, .number = 0};

double seconds_since(std::chrono::steady_clock::time_point start)
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

std::size_t allocated_bytes()
{
    return mallinfo2().uordblks;
}

/// Mean time of one call over enough calls to last a tenth of a second.
template <class Call>
double seconds_per_call(const Call& call)
{
    constexpr double least_time = 0.1;
    const auto start = std::chrono::steady_clock::now();
    std::size_t calls = 0;
    do {
        call();
        ++calls;
    } while (seconds_since(start) < least_time);
    return seconds_since(start) / static_cast<double>(calls);
}

gossip news_of_a_host()
{
    constexpr std::uint32_t partitions = 4;
    constexpr std::uint32_t servers = 67;
    gossip out;
    out.description_version = 1'000;
    for (std::uint32_t i = 0; i < partitions; ++i) {
        out.partitions.push_back({.id = {.service = lessons, .number = i}, .version = 1'000});
    }
    for (std::uint32_t i = 0; i < servers; ++i) {
        out.coordinators.push_back(
            {.server = {"lessons-" + std::to_string(i)}, .host = {"host-11"}, .term = 1'000});
    }
    return out;
}

struct membership_figures {
    double bytes = 0.0;      ///< sent per second and host
    double messages = 0.0;   ///< sent per second and host
    double micros = 0.0;     ///< processor time per second and host
    double memory = 0.0;     ///< bytes per host
    double whole_list = 0.0; ///< bytes of one answer with all host states
};

/// `restart_every`: interval between host restarts; zero disables them.
membership_figures measure_membership(std::size_t hosts, milliseconds restart_every)
{
    constexpr seconds warm_up{10};
    constexpr seconds measured{10};
    constexpr milliseconds slice_of_time{1000};
    fake_network::settings settings{.step = milliseconds{20}, .delay = milliseconds{20}};
    settings.count_bytes = true;
    // Requests for all host states are frequent after a start, so they are excluded here and
    // counted separately.
    settings.membership.heal_interval = std::chrono::minutes{1};
    const auto memory_before = allocated_bytes();
    fake_network network{hosts, settings, seed};
    std::vector<host_state> all;
    for (std::size_t i = 0; i < hosts; ++i) {
        all.push_back(network.at(i).known_hosts().front());
        network.set_gossip(i, news_of_a_host());
    }
    for (std::size_t i = 0; i < hosts; ++i) {
        network.at(i).add_known_hosts(all, network.now());
    }
    const auto memory = allocated_bytes() - memory_before;
    const auto whole_list = encode(peer_message{.sender = all.front().host,
                                                .body = probe_answer{.piggyback = {.hosts = all}}})
                                .size();
    network.run(warm_up);
    const auto bytes = network.bytes();
    const auto messages = network.messages();
    const auto start = std::chrono::steady_clock::now();
    milliseconds since_restart{0};
    for (milliseconds passed{0}; passed < measured; passed += slice_of_time) {
        network.run(slice_of_time);
        since_restart += slice_of_time;
        if (restart_every.count() > 0 && since_restart >= restart_every) {
            since_restart = milliseconds{0};
            network.restart(hosts / 2);
        }
    }
    const auto host_seconds = static_cast<double>(hosts) * static_cast<double>(measured.count());
    return {.bytes = static_cast<double>(network.bytes() - bytes) / host_seconds,
            .messages = static_cast<double>(network.messages() - messages) / host_seconds,
            .micros = seconds_since(start) * micros_in_second / host_seconds,
            .memory = static_cast<double>(memory) / static_cast<double>(hosts),
            .whole_list = static_cast<double>(whole_list)};
}

/// Time from the loss of a host until the first and the last host detect it, over several losses.
void measure_detection(std::size_t hosts)
{
    constexpr std::size_t losses = 5;
    constexpr seconds limit{30};
    double first_sum = 0.0;
    double last_sum = 0.0;
    for (std::size_t i = 0; i < losses; ++i) {
        fake_network::settings settings{.step = milliseconds{20}, .delay = milliseconds{20}};
        fake_network network{hosts, settings, seed + i};
        std::vector<host_state> all;
        for (std::size_t k = 0; k < hosts; ++k) {
            all.push_back(network.at(k).known_hosts().front());
        }
        for (std::size_t k = 0; k < hosts; ++k) {
            network.at(k).add_known_hosts(all, network.now());
        }
        network.run(seconds{3});
        const auto lost = 2 + i;
        network.stop(lost);
        const auto first = network.run_until(
            [&network, lost, hosts] {
                for (std::size_t k = 0; k < hosts; ++k) {
                    if (k != lost && !network.sees(k, lost)) {
                        return true;
                    }
                }
                return false;
            },
            limit);
        const auto rest = network.run_until(
            [&network, lost, hosts] {
                for (std::size_t k = 0; k < hosts; ++k) {
                    if (k != lost && network.sees(k, lost)) {
                        return false;
                    }
                }
                return true;
            },
            limit);
        first_sum += static_cast<double>(first.count());
        last_sum += static_cast<double>((first + rest).count());
    }
    std::printf("| %zu | %.0f | %.0f |\n", hosts, first_sum / losses, last_sum / losses);
}

void report_membership()
{
    std::printf("\n## Membership by hosts (virtual time, 20 ms one way)\n\n");
    std::printf(
        "| hosts | bytes/s sent | messages/s sent | bytes/s, a restart each 2 s | us/s of "
        "processor | KB of memory | bytes of all host states |\n|---|---|---|---|---|---|---|\n");
    std::vector<point> bytes;
    std::vector<point> micros;
    std::vector<point> memory;
    for (const std::size_t hosts : {12, 50, 200, 1200}) {
        const auto quiet = measure_membership(hosts, milliseconds{0});
        const auto busy = measure_membership(hosts, milliseconds{2000});
        constexpr double kilo = 1000.0;
        std::printf("| %zu | %.0f | %.1f | %.0f | %.0f | %.1f | %.0f |\n", hosts, quiet.bytes,
                    quiet.messages, busy.bytes, quiet.micros, quiet.memory / kilo,
                    quiet.whole_list);
        const auto size = static_cast<double>(hosts);
        bytes.push_back({size, quiet.bytes});
        micros.push_back({size, quiet.micros});
        memory.push_back({size, quiet.memory});
    }
    std::printf("\n");
    print_fit("bytes/s", bytes);
    print_fit("us/s", micros);
    print_fit("bytes of memory", memory);
    std::printf("\n| hosts | ms to the first host that knows a loss | ms to the last |\n"
                "|---|---|---|\n");
    for (const std::size_t hosts : {12, 50, 200}) {
        measure_detection(hosts);
    }
}

description describe(std::size_t servers, std::uint32_t slices_per_server)
{
    description all;
    all.version = 1;
    for (const auto* name : {"d0", "d1", "d2"}) {
        all.failure_domains.push_back({.name = {name}, .region = {"r"}});
    }
    all.services.push_back({.name = lessons, .slices_per_server = slices_per_server});
    for (std::size_t i = 0; i < servers; ++i) {
        all.backend_servers.push_back({.name = {"lessons-" + std::to_string(i)},
                                       .service = lessons,
                                       .failure_domain = all.failure_domains[i % 3].name});
    }
    return all;
}

std::vector<load_report> even_reports(const partition& document)
{
    std::map<std::uint32_t, load_report> by_owner;
    for (const auto& one : document.slices) {
        auto& report = by_owner[one.owner];
        report.id = document.id;
        report.server = document.backend_servers[one.owner];
        report.slices.push_back({.first = one.first, .requests_per_second = 100.0});
    }
    std::vector<load_report> out;
    out.reserve(by_owner.size());
    for (auto& [owner, report] : by_owner) {
        out.push_back(std::move(report));
    }
    return out;
}

struct plan_figures {
    double quiet_ms = 0.0;
    double lost_ms = 0.0;
};

plan_figures measure_plans(const partition& document, const description& all)
{
    constexpr double millis_in_second = 1e3;
    const monotonic_time now{std::chrono::hours{1}};
    assigner planner{{}};
    auto reports = even_reports(document);
    for (const auto& report : reports) {
        planner.on_report(report, now);
    }
    plan_figures out;
    out.quiet_ms = millis_in_second * seconds_per_call([&] {
                       [[maybe_unused]] const auto planned = planner.plan(document, all, now);
                   });
    reports.front().condition = server_condition::lost;
    planner.on_report(reports.front(), now);
    out.lost_ms = millis_in_second * seconds_per_call([&] {
                      [[maybe_unused]] const auto planned = planner.plan(document, all, now);
                  });
    return out;
}

double lookup_nanos(const partition& document)
{
    constexpr std::size_t lookups = 1'000'000;
    std::mt19937_64 random{seed};
    std::vector<key_hash> hashes(lookups);
    for (auto& hash : hashes) {
        hash = random();
    }
    const auto start = std::chrono::steady_clock::now();
    std::size_t sum = 0;
    for (const auto hash : hashes) {
        sum += slice_index(document, hash);
    }
    const auto took = seconds_since(start);
    // Uses the sum, so that the lookups are not optimized away.
    return sum == 0 ? 0.0 : took * nanos_in_second / lookups;
}

void report_slices()
{
    std::printf("\n## Documents by slices (30 servers)\n\n");
    std::printf(
        "| slices | lookup ns | document bytes | encode us | decode us | memory bytes | plan "
        "ms, quiet | plan ms, server lost |\n|---|---|---|---|---|---|---|---|\n");
    std::vector<point> bytes;
    std::vector<point> decode;
    std::vector<point> memory;
    std::vector<point> plan;
    for (const std::uint32_t slices : {1'000U, 10'000U, 100'000U}) {
        constexpr std::uint32_t servers = 30;
        const auto all = describe(servers, slices / servers);
        const auto document = first_assignment(all, lessons_0, {{"host-1"}, {"host-2"}}, "w");
        const auto encoded = encode(document);
        const auto memory_before = allocated_bytes();
        const auto copy = document;
        const auto held = static_cast<double>(allocated_bytes() - memory_before);
        const auto encode_us = micros_in_second * seconds_per_call([&document] {
                                   [[maybe_unused]] const auto out = encode(document);
                               });
        const auto decode_us = micros_in_second * seconds_per_call([&encoded] {
                                   [[maybe_unused]] const auto out = decode_partition(encoded);
                               });
        const auto plans = measure_plans(document, all);
        const auto size = static_cast<double>(copy.slices.size());
        std::printf("| %zu | %.0f | %zu | %.0f | %.0f | %.0f | %.2f | %.2f |\n", copy.slices.size(),
                    lookup_nanos(document), encoded.size(), encode_us, decode_us, held,
                    plans.quiet_ms, plans.lost_ms);
        bytes.push_back({size, static_cast<double>(encoded.size())});
        decode.push_back({size, decode_us});
        memory.push_back({size, held});
        plan.push_back({size, plans.quiet_ms});
    }
    std::printf("\n");
    print_fit("document bytes", bytes);
    print_fit("decode us", decode);
    print_fit("memory bytes", memory);
    print_fit("plan ms, quiet", plan);
}

void report_grants()
{
    std::printf("\n## Grants by slices of a server\n\n");
    std::printf("| slices | grant bytes (JSON) | answer bytes | write us | read us |\n"
                "|---|---|---|---|---|\n");
    std::vector<point> bytes;
    for (const std::size_t slices : {16, 64, 256}) {
        std::mt19937_64 random{seed};
        grant what{.coordinator = {"host-11"},
                   .sequence = 1'000'000,
                   .term = 1'000,
                   .duration = milliseconds{600}};
        for (std::size_t i = 0; i < slices; ++i) {
            const auto first = random();
            what.slices.push_back({.first = first, .last = first + 1'000'000, .fence = 1'000});
        }
        const auto text = to_json(what);
        const auto answer = to_json(grant_answer{.accepted = true,
                                                 .sequence = 1'000'000,
                                                 .term = 1'000,
                                                 .incarnation = 1'700'000'000'000,
                                                 .in_flight = 4});
        const auto write_us = micros_in_second * seconds_per_call([&what] {
                                  [[maybe_unused]] const auto out = to_json(what);
                              });
        const auto read_us = micros_in_second * seconds_per_call([&text] {
                                 [[maybe_unused]] const auto out = parse_grant(text);
                             });
        std::printf("| %zu | %zu | %zu | %.1f | %.1f |\n", slices, text.size(), answer.size(),
                    write_us, read_us);
        bytes.push_back({static_cast<double>(slices), static_cast<double>(text.size())});
    }
    std::printf("\n");
    print_fit("grant bytes", bytes);
}

peer_message from_host(peer_body body)
{
    return {.sender = {"host-11"}, .incarnation = 1'700'000'000'000, .body = std::move(body)};
}

std::vector<backend_server_id> server_names(std::size_t count)
{
    std::vector<backend_server_id> out;
    for (std::size_t i = 0; i < count; ++i) {
        out.push_back({"lessons-" + std::to_string(i)});
    }
    return out;
}

std::size_t confirm_bytes(std::size_t servers)
{
    const partition_version known{.id = lessons_0, .version = 1'000};
    const auto names = server_names(servers);
    const auto request =
        encode(from_host(confirm_request{.sequence = 1'000'000, .known = known, .servers = names}));
    const auto answer =
        encode(from_host(confirm_answer{.sequence = 1'000'000, .known = known, .servers = names}));
    return request.size() + answer.size();
}

void report_confirmations()
{
    std::printf("\n## Confirmations by servers of a coordinator in one partition\n\n");
    std::printf(
        "| servers | bytes of request and answer | encode and decode us |\n|---|---|---|\n");
    std::vector<point> bytes;
    for (const std::size_t servers : {1, 3, 10, 30}) {
        const auto size = confirm_bytes(servers);
        const auto message = from_host(confirm_request{.sequence = 1,
                                                       .known = {.id = lessons_0, .version = 1},
                                                       .servers = server_names(servers)});
        const auto us = micros_in_second * seconds_per_call([&message] {
                            [[maybe_unused]] const auto out = decode_peer_message(encode(message));
                        });
        std::printf("| %zu | %zu | %.1f |\n", servers, size, us);
        bytes.push_back({static_cast<double>(servers), static_cast<double>(size)});
    }
    std::printf("\n");
    print_fit("bytes", bytes);
}

void report_loads()
{
    std::printf("\n## Load reports by slices of a server\n\n| slices | bytes |\n|---|---|\n");
    std::vector<point> bytes;
    for (const std::size_t slices : {16, 64, 256}) {
        std::mt19937_64 random{seed};
        load_report report{.id = lessons_0, .server = {"lessons-1"}, .incarnation = 1'700'000'000};
        for (std::size_t i = 0; i < slices; ++i) {
            report.slices.push_back({.first = random(), .requests_per_second = 1'234.5});
        }
        const auto size = encode(from_host(report)).size();
        std::printf("| %zu | %zu |\n", slices, size);
        bytes.push_back({static_cast<double>(slices), static_cast<double>(size)});
    }
    std::printf("\n");
    print_fit("bytes", bytes);
}

std::string description_text(std::size_t servers)
{
    std::string out = "[[failure_domain]]\nname = \"d0\"\nregion = \"r0\"\n\n"
                      "[[tenant]]\nname = \"pelita\"\n\n"
                      "[[service]]\nname = \"lessons\"\ntenant = \"pelita\"\n\n"
                      "[[service.class]]\nname = \"browse\"\n\n";
    for (std::size_t i = 0; i < servers; ++i) {
        out +=
            "[[backend_server]]\nname = \"lessons-" + std::to_string(i) +
            "\"\nservice = \"lessons\"\nfailure_domain = \"d0\"\naddress = \"10.0.0.1:8000\"\n\n";
    }
    return out;
}

void report_descriptions()
{
    std::printf(
        "\n## Descriptions by backend servers\n\n| servers | bytes of TOML | faults | parse "
        "ms |\n|---|---|---|---|\n");
    std::vector<point> bytes;
    std::vector<point> parse;
    for (const std::size_t servers : {60, 600, 3000}) {
        constexpr double millis_in_second = 1e3;
        const auto text = description_text(servers);
        const auto faults = parse_description(text, "bench").faults.size();
        const auto ms = millis_in_second * seconds_per_call([&text] {
                            [[maybe_unused]] const auto out = parse_description(text, "bench");
                        });
        std::printf("| %zu | %zu | %zu | %.2f |\n", servers, text.size(), faults, ms);
        const auto size = static_cast<double>(servers);
        bytes.push_back({size, static_cast<double>(text.size())});
        parse.push_back({size, ms});
    }
    std::printf("\n");
    print_fit("bytes", bytes);
    print_fit("parse ms", parse);
}

/// Control bytes of one partition per hour, by what a confirmation names.
void report_validation()
{
    constexpr std::size_t coordinators = 12;
    constexpr std::size_t servers = 30;
    constexpr std::size_t validators = 5;
    constexpr std::size_t slices = 480;
    constexpr double confirms_in_hour = 5.0 * 3600.0 * coordinators * validators;
    const auto all = describe(servers, slices / servers);
    const auto document = first_assignment(all, lessons_0, {{"host-1"}, {"host-2"}}, "w");
    const auto document_bytes = static_cast<double>(
        encode(from_host(document_offer{.partition = encode(document)})).size());
    const partition_version known{.id = lessons_0, .version = 1'000};
    // Validation by slice names each slice of the coordinator's servers with its fence.
    released by_slice{.known = known, .server = {"lessons-1"}};
    for (std::size_t i = 0; i < slices / coordinators; ++i) {
        by_slice.slices.push_back({.first = document.slices[i].first, .fence = 1'000});
    }
    const auto coarse = static_cast<double>(confirm_bytes(servers / coordinators + 1));
    const auto fine = coarse + static_cast<double>(encode(from_host(by_slice)).size()) -
                      static_cast<double>(encode(from_host(released{.known = known})).size());
    std::printf("\n## Validation by partition version against validation by slice\n\n");
    std::printf(
        "%zu slices, %zu coordinators, %zu validators, a confirmation each 200 ms: %.0f and "
        "%.0f bytes each; document %.0f bytes\n\n",
        slices, coordinators, validators, coarse, fine, document_bytes);
    std::printf("| changes an hour | MB an hour by version | MB an hour by slice | ratio |\n"
                "|---|---|---|---|\n");
    for (const double changes : {1.0, 60.0, 600.0, 3600.0, 18000.0}) {
        constexpr double mega = 1e6;
        constexpr double slice_bytes = 16.0;
        const auto by_version = confirms_in_hour * coarse + changes * coordinators * document_bytes;
        const auto by_slices = confirms_in_hour * fine + changes * coordinators * slice_bytes;
        std::printf("| %.0f | %.1f | %.1f | %.2f |\n", changes, by_version / mega, by_slices / mega,
                    by_version / by_slices);
    }
}

} // namespace

int main()
{
    report_membership();
    report_slices();
    report_grants();
    report_confirmations();
    report_loads();
    report_descriptions();
    report_validation();
    return 0;
}
