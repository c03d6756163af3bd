#include "lab.hh"

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <future>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <stdexcept>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "figreach/direct/runtime/change_signal.h"
#include "json_reader.h"
#include "names.h"
#include "number.h"

namespace figreach::review {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
namespace name = platform::name;
using asio::ip::tcp;
using direct::http_request;
using direct::http_response;

namespace {

constexpr auto no_throw = asio::as_tuple(asio::use_awaitable);
constexpr milliseconds report_interval{300};
constexpr std::uint64_t max_body_bytes = 8 * 1024 * 1024;

std::uint64_t unix_ms()
{
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(since).count());
}

/// A port that no socket uses, below the range of outgoing connections.
std::uint16_t free_port()
{
    static unsigned next = static_cast<unsigned>(::getpid()) * 64;
    for (int tried = 0; tried < 20000; ++tried) {
        const auto port = static_cast<std::uint16_t>(10000 + next++ % 20000);
        const int probe = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const bool is_free =
            ::bind(probe, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
        ::close(probe);
        if (is_free) {
            return port;
        }
    }
    throw std::runtime_error{"no free port"};
}

std::string loopback(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

} // namespace

recorder::recorder(const std::filesystem::path& file)
    : out{file}, start{monotonic_time::clock::now()}
{
}

void recorder::write(const std::string& line)
{
    const std::lock_guard lock{this->mutex};
    const std::chrono::duration<double> at = monotonic_time::clock::now() - this->start;
    this->out << std::fixed << std::setprecision(3) << at.count() << ' ' << line << std::endl;
}

lab::lab(std::filesystem::path folder_)
    : store{this->io, this->model, 1},
      record{folder_ / "record.txt"},
      folder{std::filesystem::temp_directory_path() / ("review-3-" + std::to_string(::getpid()))},
      guard{this->io.get_executor()}
{
    std::filesystem::create_directories(this->folder);
}

lab::~lab()
{
    this->io.stop();
    if (this->loop.joinable()) {
        this->loop.join();
    }
    if (std::getenv("KEEP_LOGS") == nullptr) {
        std::filesystem::remove_all(this->folder);
    }
}

void lab::finish(int status)
{
    std::cout.flush();
    if (std::getenv("KEEP_LOGS") == nullptr) {
        std::error_code ignored;
        std::filesystem::remove_all(this->folder, ignored);
    }
    std::_Exit(status);
}

void lab::start()
{
    this->loop = std::thread{[this] { this->io.run(); }};
}

void lab::run_on_loop(const std::function<void()>& work)
{
    std::promise<void> done;
    asio::post(this->io, [&] {
        work();
        done.set_value();
    });
    done.get_future().wait();
}

void lab::write_configuration(const std::vector<route_spec>& routes,
                              const std::vector<service_spec>& services)
{
    ++this->version;
    json::array resources;
    for (const auto& one : routes) {
        resources.push_back(
            json::object{{"type", "routes"},
                         {"metadata", json::object{{"name", "r-" + one.path}}},
                         {"spec", json::object{{"host", caller_host},
                                               {"prefix", "/" + one.path + "/"},
                                               {"service", one.service},
                                               {"route_type", one.type},
                                               {"timeout_s", one.timeout_s},
                                               {"latency_target_s", one.objective_s},
                                               {"attempts", one.attempts},
                                               {"priority", 1}}}});
    }
    for (const auto& one : services) {
        resources.push_back(json::object{{"type", "services"},
                                         {"metadata", json::object{{"name", one.name}}},
                                         {"spec", json::object{{"health_path", "/healthz"},
                                                               {"max_conns", 130},
                                                               {"sharded", one.divided_by_key},
                                                               {"cold_start_s", 0},
                                                               {"cold_per_s", 100},
                                                               {"warmup_s", 0}}}});
    }
    resources.push_back(json::object{{"type", "limits"},
                                     {"metadata", json::object{{"name", "limits"}}},
                                     {"spec", json::object{{"max_header_bytes", 16384},
                                                           {"max_body_bytes", 4194304},
                                                           {"header_timeout_s", 5},
                                                           {"idle_timeout_s", 30}}}});
    const json::object whole{{"version", "r" + std::to_string(this->version)},
                             {"resources", std::move(resources)}};
    const direct::store_transaction what{
        .conditions = {},
        .writes = {{.key = name::configuration_key, .value = json::serialize(whole)}},
        .removals = {}};
    static_cast<void>(this->model.commit(what, monotonic_time::clock::now()));
    this->store.notify();
}

worker::worker(lab& all_, worker_spec spec_, answer_hook hook_)
    : spec{std::move(spec_)}, all{all_}, hook{std::move(hook_)}, acceptor{all_.io}
{
}

void worker::start()
{
    ++this->life;
    this->born_ms = unix_ms();
    this->reports = 0;
    this->lease = 0;
    this->running = 0;
    this->held = {};
    if (!this->acceptor.is_open()) {
        const auto port = this->address.empty()
                              ? free_port()
                              : static_cast<std::uint16_t>(
                                    std::stoul(this->address.substr(this->address.rfind(':') + 1)));
        this->address = loopback(port);
        const tcp::endpoint at{asio::ip::address_v4::loopback(), port};
        this->acceptor.open(at.protocol());
        this->acceptor.set_option(tcp::acceptor::reuse_address{true});
        this->acceptor.bind(at);
        this->acceptor.listen();
        asio::co_spawn(this->all.io, this->accept(), asio::detached);
    }
    asio::co_spawn(this->all.io, this->report(this->life), asio::detached);
}

void worker::crash()
{
    ++this->life;
    boost::system::error_code ignored;
    this->acceptor.close(ignored);
    for (const auto& one : this->connections) {
        if (const auto stream = one.lock()) {
            standin::reset(stream->socket());
        }
    }
    this->connections.clear();
    this->all.record.write("worker " + this->spec.id + " crashed");
}

asio::awaitable<void> worker::accept()
{
    for (;;) {
        auto [failed, socket] = co_await this->acceptor.async_accept(no_throw);
        if (failed) {
            co_return;
        }
        auto stream = std::make_shared<boost::beast::tcp_stream>(std::move(socket));
        stream->socket().set_option(tcp::no_delay{true});
        this->connections.push_back(stream);
        asio::co_spawn(this->all.io, this->serve(std::move(stream)), asio::detached);
    }
}

asio::awaitable<void> worker::report(std::uint64_t current)
{
    while (this->life == current) {
        this->write_entry();
        co_await direct::sleep_for(this->all.io, report_interval);
    }
}

void worker::drain()
{
    this->draining = true;
    this->all.record.write("worker " + this->spec.id + " drains");
    this->write_entry();
}

void worker::write_entry()
{
    const auto now = monotonic_time::clock::now();
    if (!this->all.model.renew_lease(this->lease, now)) {
        this->lease = this->all.model.open_lease(report_interval * 3, now);
    }
    const json::object entry{
        {"born", this->born_ms},
        {"address", this->address},
        {"info", json::object{{"service", this->spec.service},
                              {"zone", this->spec.zone},
                              {"version", "v1"},
                              {"slots", this->spec.slots}}},
        {"status", json::object{{"state", this->draining ? "draining" : "ready"},
                                {"seq", ++this->reports},
                                {"cold_left_s", 0}}}};
    const direct::store_transaction what{.conditions = {},
                                         .writes = {{.key = name::servers_prefix + this->spec.id,
                                                     .value = json::serialize(entry),
                                                     .lease = {.id = this->lease}}},
                                         .removals = {}};
    static_cast<void>(this->all.model.commit(what, now));
    this->all.store.notify();
}

http_response worker::make_answer(unsigned status) const
{
    http_response out;
    out.result(status);
    out.set(name::answering_server, this->spec.id);
    out.set(name::load, std::to_string(this->running) + ",0," + std::to_string(this->spec.slots));
    if (this->draining) {
        out.set(name::server_leaving, "1");
    }
    return out;
}

asio::awaitable<void> worker::serve(std::shared_ptr<boost::beast::tcp_stream> stream)
{
    boost::beast::flat_buffer buffer;
    for (;;) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(max_body_bytes);
        parser.header_limit(64 * 1024);
        const auto [failed, count] = co_await http::async_read(*stream, buffer, parser, no_throw);
        if (failed) {
            co_return;
        }
        const auto request = parser.release();
        if (this->hook) {
            const auto result = co_await this->hook(*this, *stream, request);
            if (result.handled && !result.keep_open) {
                standin::reset(stream->socket());
                co_return;
            }
            if (result.handled) {
                continue;
            }
        }
        auto answer = co_await this->usual_answer(request);
        answer.version(11);
        answer.keep_alive(true);
        answer.prepare_payload();
        const auto [write_error, sent] = co_await http::async_write(*stream, answer, no_throw);
        if (write_error) {
            co_return;
        }
    }
}

asio::awaitable<http_response> worker::usual_answer(const http_request& request)
{
    const std::string id{request[name::request_id]};
    const auto finish = [&id](http_response out) {
        if (!id.empty()) {
            out.set(name::request_id, id);
        }
        return out;
    };
    const auto refuse = [&](unsigned status) {
        auto out = this->make_answer(status);
        out.set(name::not_run, "1");
        return finish(std::move(out));
    };
    const auto expected = request[name::expected_server];
    if (!expected.empty() && std::string{expected} != this->spec.id) {
        co_return refuse(421);
    }
    if (request.target() == name::grant_path || request.target() == name::release_path) {
        co_return co_await this->order(request);
    }
    if (request.target() == "/healthz") {
        co_return this->make_answer(200);
    }
    if (id.empty()) {
        co_return refuse(400);
    }
    const auto key = platform::parse_number(std::string{request[name::key]});
    const auto now = monotonic_time::clock::now();
    if (this->spec.divided_by_key &&
        (!key || !this->held.holds(static_cast<std::uint32_t>(*key), now))) {
        co_return refuse(421);
    }
    if (this->running >= this->spec.slots) {
        co_return refuse(503);
    }
    ++this->running;
    if (this->on_run) {
        this->on_run(*this, request);
    }
    co_await direct::sleep_for(this->all.io, this->spec.work);
    this->running -= std::min(this->running, 1U);
    auto out = this->make_answer(200);
    out.set(name::signature, "signed-" + this->spec.id);
    out.body() = "answer to " + id;
    co_return finish(std::move(out));
}

bool worker::apply_grant(const http_request& request, monotonic_time arrival)
{
    const auto parsed = platform::parse_json(request.body());
    if (!parsed) {
        return false;
    }
    platform::json_reader in{*parsed};
    const direct::key_span keys{
        .first = static_cast<std::uint32_t>(in.whole_number("from", direct::key_count - 1)),
        .last = static_cast<std::uint32_t>(in.whole_number("to", direct::key_count - 1))};
    return this->held.grant(keys, in.whole_number("fence"), in.time("hold_s"), arrival);
}

asio::awaitable<http_response> worker::order(const http_request& request)
{
    const auto arrival = monotonic_time::clock::now();
    if (request.target() == name::grant_path) {
        co_return this->make_answer(this->apply_grant(request, arrival) ? 200 : 409);
    }
    const auto parsed = platform::parse_json(request.body());
    if (!parsed) {
        co_return this->make_answer(400);
    }
    platform::json_reader in{*parsed};
    const direct::key_span keys{
        .first = static_cast<std::uint32_t>(in.whole_number("from", direct::key_count - 1)),
        .last = static_cast<std::uint32_t>(in.whole_number("to", direct::key_count - 1))};
    const auto fence = in.whole_number("fence");
    this->held.release(keys, fence);
    while (this->running > 0) {
        co_await direct::sleep_for(this->all.io, milliseconds{3});
    }
    auto out = this->make_answer(200);
    out.set(name::handover, "token-" + std::to_string(fence));
    co_return out;
}

entry_host::entry_host(lab& all_, std::string name_, std::string zone, std::string store)
    : name{std::move(name_)},
      caller_port{free_port()},
      admin_port{free_port()},
      peer_port{free_port()},
      all{all_},
      settings{all_.folder / (this->name + ".toml")}
{
    std::ofstream out{this->settings};
    out << "name = \"" << this->name << "\"\nfailure_domain = \"" << zone
        << "\"\ncaller_address = \"" << loopback(this->caller_port) << "\"\nadmin_address = \""
        << loopback(this->admin_port) << "\"\npeer_address = \"" << loopback(this->peer_port)
        << "\"\nstore_address = \"" << (store.empty() ? all_.store.address() : store)
        << "\"\nprocessor_share = 0.2\nstop_limit_s = 6\nleaving_limit_s = 2\nrepeat_share = 0.2\n"
           "repeat_allowance = 64\nlongest_hold_s = 10\nreport_interval_s = 0.3\n";
}

entry_host::~entry_host()
{
    if (this->process != 0) {
        ::kill(this->process, SIGKILL);
        ::waitpid(this->process, nullptr, 0);
    }
}

void entry_host::start()
{
    std::string program = "target/bin/figreach-direct";
    auto file = this->settings.string();
    const std::array<char*, 3> arguments{program.data(), file.data(), nullptr};
    const auto log = (this->all.folder / (this->name + ".log")).string();
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    const int failed = ::posix_spawn(&this->process, program.c_str(), &actions, nullptr,
                                     arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failed != 0) {
        this->process = 0;
        throw std::runtime_error{"cannot start " + program};
    }
    this->all.record.write("host " + this->name + " started");
}

void entry_host::signal(int number)
{
    if (this->process != 0) {
        this->all.record.write("host " + this->name + " gets signal " + std::to_string(number));
        ::kill(this->process, number);
    }
}

bool entry_host::is_running()
{
    if (this->process != 0 && ::waitpid(this->process, &this->status, WNOHANG) == this->process) {
        this->process = 0;
        this->all.record.write("host " + this->name + " has ended, status " +
                               std::to_string(this->status));
    }
    return this->process != 0;
}

bool entry_host::wait_ready(milliseconds longest)
{
    const auto until = monotonic_time::clock::now() + longest;
    while (monotonic_time::clock::now() < until) {
        caller one{this->admin_port};
        if (one.is_connected() && one.send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n") &&
            one.receive(milliseconds{500}).status == 200) {
            return true;
        }
        pause_for(milliseconds{50});
    }
    return false;
}

long entry_host::status_field(const std::string& field) const
{
    std::ifstream in{"/proc/" + std::to_string(this->process) + "/status"};
    std::string line;
    while (std::getline(in, line)) {
        if (line.starts_with(field + ":")) {
            return std::stol(line.substr(field.size() + 1));
        }
    }
    return 0;
}

long entry_host::peak_memory_kb() const
{
    return this->status_field("VmHWM");
}

long entry_host::memory_kb() const
{
    return this->status_field("VmRSS");
}

double entry_host::processor_seconds() const
{
    std::ifstream in{"/proc/" + std::to_string(this->process) + "/stat"};
    std::string text;
    std::getline(in, text);
    const auto end = text.rfind(')');
    if (end == std::string::npos) {
        return 0.0;
    }
    std::istringstream rest{text.substr(end + 2)};
    std::string word;
    double ticks = 0.0;
    for (int i = 0; i < 13 && rest >> word; ++i) {
        if (i == 11 || i == 12) {
            ticks += std::stod(word);
        }
    }
    return ticks / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

caller::caller(std::uint16_t port, int receive_buffer)
{
    const int made = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receive_buffer > 0) {
        ::setsockopt(made, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    }
    const int on = 1;
    ::setsockopt(made, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::connect(made, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) {
        this->socket = made;
    }
    else {
        ::close(made);
    }
}

caller::~caller()
{
    this->close();
}

void caller::close()
{
    if (this->socket >= 0) {
        ::close(this->socket);
        this->socket = -1;
    }
}

bool caller::send(const std::string& bytes)
{
    std::size_t done = 0;
    while (this->socket >= 0 && done < bytes.size()) {
        const auto count =
            ::send(this->socket, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        done += static_cast<std::size_t>(count);
    }
    return this->socket >= 0;
}

std::string caller::bytes_of(const call_spec& what)
{
    std::string out = what.method + " " + what.path + " HTTP/1.1\r\nHost: " + caller_host +
                      "\r\nFigreach-Request-Id: " + what.id + "\r\n";
    if (what.key) {
        out += "Figreach-Shard-Key: " + std::to_string(*what.key) + "\r\n";
    }
    if (what.time_limit) {
        out += "Figreach-Deadline-Ms: " + std::to_string(what.time_limit->count()) + "\r\n";
    }
    if (!what.body.empty() || what.method == "POST") {
        out += "Content-Length: " + std::to_string(what.body.size()) + "\r\n";
    }
    if (!what.keep_alive) {
        out += "Connection: close\r\n";
    }
    return out + what.more_fields + "\r\n" + what.body;
}

call_result caller::call(const call_spec& what, milliseconds longest, milliseconds pause)
{
    if (!this->send(bytes_of(what))) {
        return {.ending = "unconnected"};
    }
    return this->receive(longest, pause);
}

call_result caller::receive(milliseconds longest, milliseconds pause)
{
    call_result out;
    const auto start = monotonic_time::clock::now();
    const auto until = start + longest;
    auto& text = this->read_ahead;
    bool paused = pause <= milliseconds{0};
    std::optional<std::size_t> total;
    std::optional<monotonic_time> first; ///< when the first bytes came
    out.ending = "timeout";
    for (;;) {
        const auto head_end = text.find("\r\n\r\n");
        if (head_end != std::string::npos && !total) {
            out.head = text.substr(0, head_end + 2);
            out.status = std::atoi(out.head.substr(out.head.find(' ') + 1, 3).c_str());
            const auto at = out.head.find("\r\nContent-Length: ");
            const auto length =
                at != std::string::npos ? std::strtoul(out.head.c_str() + at + 18, nullptr, 10) : 0;
            total = head_end + 4 + length;
        }
        if (total && !paused) {
            paused = true;
            pause_for(pause);
        }
        if (total && text.size() >= *total) {
            out.body = text.substr(out.head.size() + 2, *total - out.head.size() - 2);
            out.complete = true;
            out.ending = "answer";
            text.erase(0, *total);
            break;
        }
        const auto left =
            std::chrono::duration_cast<milliseconds>(until - monotonic_time::clock::now());
        pollfd ready{.fd = this->socket, .events = POLLIN, .revents = 0};
        if (this->socket < 0 || left <= milliseconds{0} ||
            ::poll(&ready, 1, static_cast<int>(left.count())) <= 0) {
            break;
        }
        std::array<char, 65536> chunk{};
        const auto count = ::recv(this->socket, chunk.data(), chunk.size(), 0);
        if (count <= 0) {
            out.ending = count == 0 ? "closed" : "reset";
            break;
        }
        text.append(chunk.data(), static_cast<std::size_t>(count));
        first = first.value_or(monotonic_time::clock::now());
        if (this->rate > 0) {
            const std::chrono::duration<double> due{static_cast<double>(text.size()) /
                                                    static_cast<double>(this->rate)};
            std::this_thread::sleep_until(
                *first + std::min(std::chrono::duration_cast<monotonic_time::duration>(due),
                                  monotonic_time::duration{this->slow_for}));
        }
    }
    if (!out.complete && total) {
        out.body = text.substr(std::min(text.size(), out.head.size() + 2));
    }
    out.took = std::chrono::duration_cast<milliseconds>(monotonic_time::clock::now() - start);
    return out;
}

std::string next_id()
{
    static std::atomic<std::uint64_t> count{0};
    std::ostringstream out;
    out << std::hex << std::setw(16) << std::setfill('0')
        << (static_cast<std::uint64_t>(::getpid()) << 32U) + ++count;
    return out.str();
}

bool has_trouble()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string{value} != "0";
}

void pause_for(milliseconds time)
{
    std::this_thread::sleep_for(time);
}

} // namespace figreach::review
