#pragma once

#include <cstdint>
#include <filesystem>
#include <string>

#include <sys/types.h>

namespace figreach::review {

/// One entry host as a process of its own, with settings like those of a small deployment.
class host {
public:
    host(std::string name, std::string failure_domain, std::filesystem::path program,
         std::filesystem::path folder, const std::string& store_address);
    ~host();
    host(const host&) = delete;
    host& operator=(const host&) = delete;

    void start();
    /// Sends a signal to the process that was started here.
    void signal(int number);
    /// Reaps the process if it has ended.
    [[nodiscard]] bool is_running();
    /// Anonymous resident memory in MiB; 0 if it is not known.
    [[nodiscard]] std::uint64_t resident_mib() const;
    /// Whether the process has the end with this port of a loopback connection.
    [[nodiscard]] bool owns_port(std::uint16_t port) const;

    [[nodiscard]] const std::string& name() const;
    [[nodiscard]] const std::string& caller_address() const;
    [[nodiscard]] const std::string& admin_address() const;
    [[nodiscard]] const std::string& peer_address() const;

private:
    std::string own_name;
    std::filesystem::path program;
    std::filesystem::path folder;
    std::string caller;
    std::string admin;
    std::string peer;
    pid_t process = 0; ///< 0 if it does not run
};

} // namespace figreach::review
