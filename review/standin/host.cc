#include "host.hh"

#include <array>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <iterator>
#include <set>
#include <sstream>
#include <stdexcept>
#include <utility>
#include <vector>

#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace figreach::review {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// Below the ports of outgoing connections.
constexpr unsigned first_port = 10000;
constexpr unsigned port_count = 20000;
constexpr unsigned ports_per_process = 64;
constexpr std::uint64_t kib_per_mib = 1024;

std::string free_address()
{
    static unsigned next = static_cast<unsigned>(::getpid()) * ports_per_process;
    asio::io_context io;
    for (unsigned tried = 0; tried < port_count; ++tried) {
        const auto port = static_cast<std::uint16_t>(first_port + next++ % port_count);
        tcp::acceptor probe{io, tcp::v4()};
        boost::system::error_code failed;
        probe.bind({asio::ip::address_v4::loopback(), port}, failed);
        if (!failed) {
            return "127.0.0.1:" + std::to_string(port);
        }
    }
    throw std::runtime_error{"no free port"};
}

} // namespace

host::host(std::string name_, std::string failure_domain, std::filesystem::path program_,
           std::filesystem::path folder_, const std::string& store_address)
    : own_name{std::move(name_)},
      program{std::move(program_)},
      folder{std::move(folder_)},
      caller{free_address()},
      admin{free_address()},
      peer{free_address()}
{
    // platform/settings.toml, filled in with the bounds of the small sites.
    std::ofstream out{this->folder / (this->own_name + ".toml")};
    out << "name = \"" << this->own_name << "\"\nfailure_domain = \"" << failure_domain
        << "\"\ncaller_address = \"" << this->caller << "\"\nadmin_address = \"" << this->admin
        << "\"\npeer_address = \"" << this->peer << "\"\nstore_address = \"" << store_address
        << "\"\nprocessor_share = 0.2\nstop_limit_s = 6\nleaving_limit_s = 2\nrepeat_share = 0.2\n"
        << "repeat_allowance = 64\nlongest_hold_s = 10\nreport_interval_s = 0.87\n";
}

host::~host()
{
    if (this->process != 0) {
        ::kill(this->process, SIGKILL);
        ::waitpid(this->process, nullptr, 0);
    }
}

void host::start()
{
    const auto settings = "FIGREACH_CONFIG=" + (this->folder / (this->own_name + ".toml")).string();
    const auto log = (this->folder / (this->own_name + ".log")).string();
    auto program_text = this->program.string();
    auto settings_text = settings;
    const std::array<char*, 2> arguments{program_text.data(), nullptr};
    const std::array<char*, 2> environment{settings_text.data(), nullptr};
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    constexpr mode_t readable = 0644;
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, readable);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // With inherited sockets, connections that a stand-in resets would stay open.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    const auto failed = ::posix_spawn(&this->process, program_text.c_str(), &actions, nullptr,
                                      arguments.data(), environment.data());
    posix_spawn_file_actions_destroy(&actions);
    if (failed != 0) {
        this->process = 0;
        throw std::runtime_error{"cannot start " + program_text};
    }
}

void host::signal(int number)
{
    if (this->process != 0) {
        ::kill(this->process, number);
    }
}

bool host::is_running()
{
    int status = 0;
    if (this->process != 0 && ::waitpid(this->process, &status, WNOHANG) == this->process) {
        this->process = 0;
    }
    return this->process != 0;
}

std::uint64_t host::resident_mib() const
{
    std::ifstream in{"/proc/" + std::to_string(this->process) + "/status"};
    std::string word;
    std::uint64_t kib = 0;
    while (in >> word) {
        if (word == "RssAnon:") {
            in >> kib;
            break;
        }
    }
    return kib / kib_per_mib;
}

bool host::owns_port(std::uint16_t port) const
{
    std::ifstream in{"/proc/net/tcp"};
    std::string line;
    std::getline(in, line);
    std::set<std::string> sockets;
    while (std::getline(in, line)) {
        // Number, local address, remote address, state, and six fields before the inode.
        std::istringstream fields{line};
        std::vector<std::string> words{std::istream_iterator<std::string>{fields}, {}};
        constexpr std::size_t inode_field = 9;
        constexpr int hexadecimal = 16;
        if (words.size() <= inode_field) {
            continue;
        }
        const auto text = words[1].substr(words[1].find(':') + 1);
        if (std::stoul(text, nullptr, hexadecimal) == port) {
            sockets.insert("socket:[" + words[inode_field] + "]");
        }
    }
    std::error_code failed;
    const std::filesystem::path open_files{"/proc/" + std::to_string(this->process) + "/fd"};
    for (std::filesystem::directory_iterator it{open_files, failed}, end; !failed && it != end;
         it.increment(failed)) {
        std::error_code unread;
        if (sockets.contains(std::filesystem::read_symlink(it->path(), unread).string())) {
            return true;
        }
    }
    return false;
}

const std::string& host::name() const
{
    return this->own_name;
}

const std::string& host::caller_address() const
{
    return this->caller;
}

const std::string& host::admin_address() const
{
    return this->admin;
}

const std::string& host::peer_address() const
{
    return this->peer;
}

} // namespace figreach::review
