#include "host_process.h"

#include <array>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <stdexcept>
#include <utility>

#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace figreach::soak {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// Below the ephemeral port range, so that no outgoing connection occupies a host's port while the
/// host is down.
constexpr unsigned first_port = 10000;
constexpr unsigned port_count = 20000;
/// Offsets the start of the port search by process id, so that concurrent soaks start apart.
constexpr unsigned ports_per_soak = 64;

tcp::acceptor bind_free_port(asio::io_context& io)
{
    static unsigned next = static_cast<unsigned>(::getpid()) * ports_per_soak;
    for (unsigned tried = 0; tried < port_count; ++tried) {
        const auto port = static_cast<std::uint16_t>(first_port + next++ % port_count);
        tcp::acceptor out{io, tcp::v4()};
        boost::system::error_code failed;
        out.bind({asio::ip::address_v4::loopback(), port}, failed);
        if (!failed) {
            return out;
        }
    }
    throw std::runtime_error{"no free port for an entry host"};
}

host_addresses free_addresses()
{
    asio::io_context io;
    const std::array<tcp::acceptor, 3> taken{bind_free_port(io), bind_free_port(io),
                                             bind_free_port(io)};
    const auto text = [&taken](std::size_t i) {
        return "127.0.0.1:" + std::to_string(taken.at(i).local_endpoint().port());
    };
    return {.caller = text(0), .admin = text(1), .peer = text(2)};
}

} // namespace

host_process::host_process(std::string name_, std::filesystem::path program_,
                           std::filesystem::path folder_, const std::string& store_address)
    : own_name{std::move(name_)},
      program{std::move(program_)},
      folder{std::move(folder_)},
      own_addresses{free_addresses()}
{
    std::ofstream out{this->folder / (this->own_name + ".toml")};
    out << "name = \"" << this->own_name << "\"\nfailure_domain = \"hill\"\ncaller_address = \""
        << this->own_addresses.caller << "\"\nadmin_address = \"" << this->own_addresses.admin
        << "\"\npeer_address = \"" << this->own_addresses.peer << "\"\nstore_address = \""
        << store_address << "\"\nreport_interval_s = 0.3\n";
}

host_process::~host_process()
{
    if (this->process != 0) {
        ::kill(this->process, SIGKILL);
        ::waitpid(this->process, nullptr, 0);
    }
}

void host_process::start()
{
    if (this->is_running()) {
        return;
    }
    const auto settings = (this->folder / (this->own_name + ".toml")).string();
    const auto log = (this->folder / (this->own_name + ".log")).string();
    auto program_text = this->program.string();
    auto settings_text = settings;
    const std::array<char*, 3> arguments{program_text.data(), settings_text.data(), nullptr};
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    constexpr mode_t readable = 0644;
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, readable);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // With inherited sockets, connections that a stand-in resets would stay open, and it could not
    // listen on its address again.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    const auto failed = ::posix_spawn(&this->process, program_text.c_str(), &actions, nullptr,
                                      arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failed != 0) {
        this->process = 0;
        throw std::runtime_error{"cannot start " + program_text};
    }
    ++this->starts;
    this->stop_requested = false;
}

void host_process::signal(int number)
{
    if (this->process != 0) {
        ::kill(this->process, number);
        this->stop_requested = this->stop_requested || number == SIGTERM;
    }
}

bool host_process::is_running()
{
    int status = 0;
    if (this->process != 0 && ::waitpid(this->process, &status, WNOHANG) == this->process) {
        this->process = 0;
        const int exit_signal = WIFSIGNALED(status) ? WTERMSIG(status) : 0;
        const int exit_code = WIFEXITED(status) ? WEXITSTATUS(status) : 0;
        const bool stopped = this->stop_requested &&
                             (exit_signal == SIGTERM || (exit_signal == 0 && exit_code == 0));
        if (exit_signal != SIGKILL && !stopped) {
            this->exit_text = "exit code " + std::to_string(exit_code) + ", signal " +
                              std::to_string(exit_signal);
        }
    }
    return this->process != 0;
}

const std::string& host_process::name() const
{
    return this->own_name;
}

const host_addresses& host_process::addresses() const
{
    return this->own_addresses;
}

std::uint64_t host_process::start_number() const
{
    return this->starts;
}

const std::string& host_process::unexpected_exit() const
{
    return this->exit_text;
}

} // namespace figreach::soak
