#pragma once

#include <cstdint>
#include <filesystem>
#include <string>

#include <sys/types.h>

namespace figreach::soak {

struct host_addresses {
    std::string caller;
    std::string admin;
    std::string peer;
};

/// Runs one entry host as a child process. Signals are sent only to the process started here.
class host_process {
public:
    /// Writes the settings file into `folder`; the process's output is logged there, too.
    host_process(std::string name, std::filesystem::path program, std::filesystem::path folder,
                 const std::string& store_address);
    ~host_process();
    host_process(const host_process&) = delete;
    host_process& operator=(const host_process&) = delete;

    /// Starts the process unless it is running.
    void start();
    /// Sends a signal; does nothing if the process is not running.
    void signal(int number);
    /// Whether the process is running; reaps it and records its exit status if it has exited.
    bool is_running();

    [[nodiscard]] const std::string& name() const;
    [[nodiscard]] const host_addresses& addresses() const;
    /// Number of starts so far; identifies the current or last process.
    [[nodiscard]] std::uint64_t start_number() const;
    /// Exit status of the last exit that no signal sent from here explains; empty if there was
    /// none.
    [[nodiscard]] const std::string& unexpected_exit() const;

private:
    std::string own_name;
    std::filesystem::path program;
    std::filesystem::path folder;
    host_addresses own_addresses;
    pid_t process = 0; ///< 0 if not running
    std::uint64_t starts = 0;
    bool stop_requested = false; ///< SIGTERM was sent since the last start
    std::string exit_text;
};

} // namespace figreach::soak
