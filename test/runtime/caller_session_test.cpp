#include "figreach/runtime/caller_session.h"

#include <cstdlib>
#include <fstream>
#include <future>

#include "plane_fixture.h"
#include "property.h"

using namespace figreach;

namespace {

const std::string to_s = "Host: x\r\nX-Figreach-Service: s\r\nX-Figreach-Key: k\r\n";
const std::string last = "Connection: close\r\n\r\n";

void write(tcp::socket& socket, const std::string& text)
{
    boost::system::error_code ignored;
    boost::asio::write(socket, boost::asio::buffer(text), ignored);
}

std::string body_length_of(const std::string& head)
{
    const std::string name = "Content-Length: ";
    const auto at = head.find(name);
    return at == std::string::npos ? "0" : head.substr(at + name.size());
}

/// Reads a body of the given length and adds the bytes read to `count`.
void read_body(tcp::socket& socket, std::string& rest, std::uint64_t length,
               std::atomic<std::uint64_t>& count)
{
    std::vector<char> chunk(64 * 1024);
    boost::system::error_code failed;
    const auto taken = std::min<std::uint64_t>(rest.size(), length);
    rest.erase(0, taken);
    count += taken;
    for (auto left = length - taken; left > 0 && !failed;) {
        const auto wanted = std::min<std::uint64_t>(left, chunk.size());
        const auto got = socket.read_some(boost::asio::buffer(chunk.data(), wanted), failed);
        count += got;
        left -= got;
    }
}

/// Answers each request with the same text and closes the connection after the first if `closes`.
fake_upstream::handler answering(std::shared_ptr<fake_upstream>& self, std::string answer,
                                 bool closes)
{
    return [&self, answer = std::move(answer), closes](tcp::socket& socket) {
        std::string rest;
        for (;;) {
            const auto head = read_head(socket, rest);
            if (head.empty()) {
                return;
            }
            ++self->requests;
            read_body(socket, rest, std::stoull(body_length_of(head)), self->body_bytes);
            write(socket, answer);
            if (closes) {
                return;
            }
        }
    };
}

struct exchange_row {
    const char* name;
    std::string request;
    std::string answer; ///< sent by the upstream; empty: none
    bool closes;
    const char* status; ///< start of the response to the caller
    const char* contains;
    std::uint64_t min_requests; ///< seen by the upstream
    std::uint64_t max_requests;
};

const std::string ok = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";
const std::string not_run = "HTTP/1.1 503 No\r\nX-Figreach-Outcome: not_run\r\nX-Figreach-Error: ";
const std::string no_body = "\r\nContent-Length: 0\r\n\r\n";
const std::string post = "POST /a HTTP/1.1\r\n" + to_s + "Content-Length: 3\r\n" + last + "abc";
const std::string get = "GET /a HTTP/1.1\r\n" + to_s + last;

const exchange_row exchange_rows[] = {
    {"read", get, ok, false, "HTTP/1.1 200", "hello", 1, 1},
    {"write", post, ok, false, "HTTP/1.1 200", "hello", 1, 1},
    {"head", "HEAD /a HTTP/1.1\r\n" + to_s + last, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n",
     false, "HTTP/1.1 200", "Content-Length: 9", 1, 1},
    {"chunked answer", get,
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", false,
     "HTTP/1.1 200", "0\r\n\r\n", 1, 1},
    {"caller waits for 100",
     "POST /a HTTP/1.1\r\n" + to_s + "Content-Length: 3\r\nExpect: 100-continue\r\n" + last + "abc",
     ok, false, "HTTP/1.1 100", "hello", 1, 1},
    {"write, upstream lost", post, "", true, "HTTP/1.1 502", "outcome_unknown", 1, 1},
    {"read, upstream lost", get, "", true, "HTTP/1.1 502", "outcome_unknown", 2, 3},
    {"write, upstream lost in its head", post, "HTTP/1.1 200 OK\r\nContent-Le", true,
     "HTTP/1.1 502", "outcome_unknown", 1, 1},
    {"write, short answer cut", post, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhe", true,
     "HTTP/1.1 502", "outcome_unknown", 1, 1},
    {"write, garbage", post, "hello there\r\n\r\n", true, "HTTP/1.1 502", "outcome_unknown", 1, 1},
    {"write, stale fence", post, not_run + "stale_route" + no_body, false, "HTTP/1.1 503",
     "\"ran\":\"not_run\"", 2, 4},
    {"write, shed", post, not_run + "overloaded" + no_body, false, "HTTP/1.1 503", "Retry-After", 1,
     1},
    {"no service", "GET /a HTTP/1.1\r\nHost: x\r\n" + last, ok, false, "HTTP/1.1 400",
     "missing_service", 0, 0},
    {"malformed", "GET\r\n\r\n", ok, false, "HTTP/1.1 400", "malformed_request", 0, 0},
    {"two lengths",
     "POST /a HTTP/1.1\r\n" + to_s + "Content-Length: 3\r\nContent-Length: 4\r\n" + last + "abc",
     ok, false, "HTTP/1.1 400", "malformed_request", 0, 0},
    {"unknown transfer coding",
     "POST /a HTTP/1.1\r\n" + to_s + "Transfer-Encoding: xchunked\r\n" + last + "0\r\n\r\n", ok,
     false, "HTTP/1.1 400", "malformed_request", 0, 0},
    {"two transfer codings",
     "POST /a HTTP/1.1\r\n" + to_s +
         "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n" + last + "0\r\n\r\n",
     ok, false, "HTTP/1.1 400", "malformed_request", 0, 0},
    {"body too large",
     "POST /a HTTP/1.1\r\n" + to_s + "Content-Length: 9223372036854775808\r\n" + last, ok, false,
     "HTTP/1.1 413", "body_too_large", 0, 0},
    {"header too large",
     "GET /a HTTP/1.1\r\n" + to_s + "X-Pad: " + std::string(20000, 'p') + "\r\n" + last, ok, false,
     "HTTP/1.1 431", "header_too_large", 0, 0},
    {"no time left", "GET /a HTTP/1.1\r\n" + to_s + "X-Figreach-Deadline-Ms: 0\r\n" + last, ok,
     false, "HTTP/1.1 504", "deadline_expired", 0, 0},
    {"pipelined", "GET /a HTTP/1.1\r\n" + to_s + "\r\n" + get, ok, false, "HTTP/1.1 200",
     "helloHTTP/1.1 200", 2, 2},
};

/// Peak resident set size of this process in bytes.
std::uint64_t peak_memory()
{
    std::ifstream status{"/proc/self/status"};
    std::string word;
    std::uint64_t kilobytes = 0;
    while (status >> word) {
        if (word == "VmHWM:") {
            status >> kilobytes;
        }
    }
    return kilobytes * 1024;
}

struct cut_row {
    const char* name;
    std::string head;
    std::string part;
};

constexpr std::size_t megabyte = 1024UL * 1024;

const cut_row cut_rows[] = {
    {"length", "HTTP/1.1 200 OK\r\nContent-Length: 1048576\r\n\r\n",
     std::string(megabyte / 2, 'x')},
    {"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
     "80000\r\n" + std::string(megabyte / 2, 'x') + "\r\n"},
};

struct deadline_row {
    const char* name;
    std::string request;
    const char* contains;
};

/// Size of the upload test in megabytes; can be set with the environment variable
/// FIGREACH_UPLOAD_MB.
std::uint64_t upload_megabytes()
{
    constexpr std::uint64_t usual = 256;
    const auto* given = std::getenv("FIGREACH_UPLOAD_MB");
    return given == nullptr ? usual : std::stoull(given);
}

} // namespace

TEST_GROUP(caller_session_test){};

TEST(caller_session_test, answers_each_exchange)
{
    for (const auto& row : exchange_rows) {
        std::shared_ptr<fake_upstream> upstream;
        upstream = std::make_shared<fake_upstream>(answering(upstream, row.answer, row.closes));
        {
            plane_fixture host{upstream->address()};
            const auto got = host.ask(row.request);
            const auto text = std::string{row.name} + ": " + got.substr(0, 400);
            CHECK_TRUE_TEXT(got.starts_with(row.status), text.c_str());
            CHECK_TRUE_TEXT(got.find(row.contains) != std::string::npos, text.c_str());
        }
        const auto seen = upstream->requests.load();
        CHECK_TRUE_TEXT(seen >= row.min_requests && seen <= row.max_requests,
                        (row.name + (": requests " + std::to_string(seen))).c_str());
    }
}

TEST(caller_session_test, gives_a_final_answer_at_the_deadline)
{
    const std::string soon = "X-Figreach-Deadline-Ms: 2000\r\n";
    const std::string head = "POST /a HTTP/1.1\r\n" + to_s + soon;
    const deadline_row rows[] = {
        {"server silent", "GET /a HTTP/1.1\r\n" + to_s + soon + last, "deadline_exceeded"},
        {"short body unfinished", head + "Content-Length: 9\r\n" + last + "abc",
         "deadline_expired"},
        {"long body unfinished", head + "Content-Length: 999999\r\n" + last + "abc",
         "deadline_exceeded"},
    };
    for (const auto& row : rows) {
        fake_upstream upstream{[](tcp::socket& socket) { read_all(socket); }};
        plane_fixture host{upstream.address()};
        const auto got = host.ask(row.request);
        const auto text = std::string{row.name} + ": " + got;
        CHECK_TRUE_TEXT(got.find(row.contains) != std::string::npos, text.c_str());
    }
}

TEST(caller_session_test, forwards_and_keeps_what_is_unknown_unknown)
{
    for (const bool writes : {true, false}) {
        std::shared_ptr<fake_upstream> coordinator;
        coordinator = std::make_shared<fake_upstream>(answering(coordinator, "", true));
        plane_fixture host{"127.0.0.1:1", coordinator->address()};
        const auto got = host.ask(writes ? post : get);
        CHECK_TRUE_TEXT(got.find("outcome_unknown") != std::string::npos, got.c_str());
        CHECK_EQUAL(writes, coordinator->requests == 1);
    }
}

TEST(caller_session_test, says_not_run_when_no_connection_is_made)
{
    plane_fixture host{local_address(free_port())};
    const auto got = host.ask(post);
    CHECK_TRUE_TEXT(got.find("server_unreachable") != std::string::npos, got.c_str());
    CHECK_TRUE_TEXT(got.find("not_run") != std::string::npos, got.c_str());
}

TEST(caller_session_test, shows_a_cut_answer_as_incomplete)
{
    for (const auto& row : cut_rows) {
        fake_upstream upstream{[&row](tcp::socket& socket) {
            std::string rest;
            if (!read_head(socket, rest).empty()) {
                write(socket, row.head + row.part);
            }
        }};
        plane_fixture host{upstream.address()};
        const auto got = host.ask(get);
        CHECK_TRUE_TEXT(got.starts_with("HTTP/1.1 200"), row.name);
        CHECK_TRUE_TEXT(got.size() < megabyte, row.name);
        CHECK_FALSE_TEXT(got.ends_with("0\r\n\r\n"), row.name);
    }
}

TEST(caller_session_test, replays_a_repeat_and_runs_it_once)
{
    const auto keyed = [](const std::string& more) {
        return "POST /a HTTP/1.1\r\n" + to_s + "Idempotency-Key: i\r\nContent-Length: 0\r\n" +
               more + last;
    };
    std::shared_ptr<fake_upstream> upstream;
    upstream = std::make_shared<fake_upstream>(answering(upstream, ok, true));
    plane_fixture host{upstream->address()};
    const auto unmarked = host.ask(keyed(""));
    CHECK_TRUE_TEXT(unmarked.find("repeat_outcome_unknown") != std::string::npos, unmarked.c_str());
    CHECK_EQUAL(0, upstream->requests.load());
    const auto first = host.ask(keyed("X-Figreach-Attempt: 1\r\n"));
    const auto second = host.ask(keyed("X-Figreach-Attempt: 2\r\n"));
    CHECK_TRUE_TEXT(first.ends_with("hello"), first.c_str());
    CHECK_TRUE_TEXT(second.ends_with("hello"), second.c_str());
    CHECK_EQUAL(1, upstream->requests.load());
}

TEST(caller_session_test, cancels_a_read_when_its_caller_leaves)
{
    std::promise<void> reached;
    std::promise<void> closed;
    fake_upstream upstream{[&reached, &closed](tcp::socket& socket) {
        std::string rest;
        if (!read_head(socket, rest).empty()) {
            reached.set_value();
            read_all(socket);
            closed.set_value();
        }
    }};
    plane_fixture host{upstream.address()};
    {
        auto caller = host.connect();
        write(caller, get);
        reached.get_future().wait();
    }
    const auto state = closed.get_future().wait_for(seconds{20});
    CHECK_TRUE(state == std::future_status::ready);
}

TEST(caller_session_test, takes_a_slow_sender)
{
    std::shared_ptr<fake_upstream> upstream;
    upstream = std::make_shared<fake_upstream>(answering(upstream, ok, false));
    plane_fixture host{upstream->address()};
    auto caller = host.connect();
    for (const char byte : post) {
        write(caller, std::string(1, byte));
    }
    const auto got = read_all(caller);
    CHECK_TRUE_TEXT(got.ends_with("hello"), got.c_str());
}

TEST(caller_session_test, gives_a_half_closed_caller_no_part_of_an_answer)
{
    std::shared_ptr<fake_upstream> upstream;
    upstream = std::make_shared<fake_upstream>(answering(upstream, ok, false));
    plane_fixture host{upstream->address()};
    auto caller = host.connect();
    write(caller, get);
    caller.shutdown(tcp::socket::shutdown_send);
    const auto got = read_all(caller);
    CHECK_TRUE_TEXT(got.empty() || got.ends_with("hello"), got.c_str());
}

TEST(caller_session_test, streams_an_upload_in_bounded_memory)
{
    const auto length = upload_megabytes() * megabyte;
    constexpr std::uint64_t max_growth = 64 * megabyte;
    std::shared_ptr<fake_upstream> upstream;
    upstream = std::make_shared<fake_upstream>(answering(upstream, ok, false));
    plane_fixture host{upstream->address()};
    const auto before = peak_memory();
    auto caller = host.connect();
    write(caller, "POST /a HTTP/1.1\r\n" + to_s + "X-Figreach-Deadline-Ms: 300000\r\n" +
                      "Content-Length: " + std::to_string(length) + "\r\n" + last);
    const std::string part(megabyte, 'u');
    for (std::uint64_t sent = 0; sent < length; sent += part.size()) {
        write(caller, part);
    }
    const auto got = read_all(caller);
    CHECK_TRUE_TEXT(got.ends_with("hello"), got.c_str());
    CHECK_TRUE(upstream->body_bytes == length);
    CHECK_TRUE(peak_memory() - before < max_growth);
}

TEST(caller_session_test, streams_to_a_slow_reader_in_bounded_memory)
{
    constexpr std::size_t length = 128 * megabyte;
    constexpr std::uint64_t max_growth = 64 * megabyte;
    fake_upstream upstream{[](tcp::socket& socket) {
        std::string rest;
        if (read_head(socket, rest).empty()) {
            return;
        }
        write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n");
        const std::string part(megabyte, 'd');
        for (std::size_t sent = 0; sent < length; sent += part.size()) {
            write(socket, part);
        }
    }};
    plane_fixture host{upstream.address()};
    const auto before = peak_memory();
    auto caller = host.connect();
    write(caller, get);
    std::vector<char> chunk(16 * 1024);
    std::size_t got = 0;
    boost::system::error_code failed;
    while (!failed) {
        got += caller.read_some(boost::asio::buffer(chunk), failed);
        std::this_thread::yield();
    }
    CHECK_TRUE(got > length);
    CHECK_TRUE(peak_memory() - before < max_growth);
}

TEST(caller_session_test, finishes_what_runs_while_it_drains)
{
    std::promise<void> reached;
    std::promise<void> go_on;
    fake_upstream upstream{[&reached, &go_on](tcp::socket& socket) {
        std::string rest;
        if (!read_head(socket, rest).empty()) {
            reached.set_value();
            go_on.get_future().wait();
            write(socket, ok);
        }
    }};
    plane_fixture host{upstream.address()};
    auto idle = host.connect();
    auto running = host.connect();
    write(running, get);
    reached.get_future().wait();
    host.plane->begin_drain();
    CHECK_EQUAL(1, host.plane->in_flight());
    const auto refused = host.ask("GET /a HTTP/1.1\r\n" + to_s + "\r\n");
    CHECK_TRUE_TEXT(refused.find("host_stopping") != std::string::npos, refused.c_str());
    CHECK_TRUE_TEXT(refused.find("Connection: close") != std::string::npos, refused.c_str());
    CHECK_TRUE(read_all(idle).empty());
    go_on.set_value();
    const auto got = read_all(running);
    CHECK_TRUE_TEXT(got.ends_with("hello"), got.c_str());
}

TEST(caller_session_test, sends_nothing_to_a_former_owner_after_waiting_for_a_slot)
{
    std::atomic<int> heads{0};
    std::atomic<bool> released{false};
    fake_upstream upstream{[&](tcp::socket& socket) {
        std::string rest;
        while (!read_head(socket, rest).empty()) {
            ++heads;
            wait_for([&] { return released.load(); });
            write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        }
    }};
    constexpr std::uint32_t one_slot = 1;
    plane_fixture host{upstream.address(), {}, one_slot};
    std::string first_answer;
    std::string second_answer;
    std::thread first{[&] { first_answer = host.ask(get); }};
    wait_for([&] { return heads == 1; });
    std::thread second{[&] { second_answer = host.ask(get); }};
    wait_for([&] { return host.links.find({"b"})->state().waiting == 1; });
    host.start_move();
    released = true;
    first.join();
    second.join();
    STRCMP_CONTAINS("200 OK", first_answer.c_str());
    STRCMP_CONTAINS("no_owner", second_answer.c_str());
    CHECK_EQUAL(1, heads.load());
    STRCMP_CONTAINS("figreach_refusals_total", host.page.to_text().c_str());
}
