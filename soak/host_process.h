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

/// One entry host as a process of its own. Signals reach only the process that was started here.
class host_process {
public:
    /// Writes the settings file into `folder`; the output of the process goes there, too.
    host_process(std::string name, std::filesystem::path program, std::filesystem::path folder,
                 const std::string& store_address);
    ~host_process();
    host_process(const host_process&) = delete;
    host_process& operator=(const host_process&) = delete;

    /// Starts the process unless it runs.
    void start();
    /// Does nothing when it does not run.
    void signal(int number);
    /// Whether it still runs; takes note of its end.
    bool is_running();

    [[nodiscard]] const std::string& name() const;
    [[nodiscard]] const host_addresses& addresses() const;
    /// Number of its present or last start.
    [[nodiscard]] std::uint64_t start_number() const;
    /// How it ended where the signals that were sent do not explain it; empty: never.
    [[nodiscard]] const std::string& unexpected_exit() const;

private:
    std::string own_name;
    std::filesystem::path program;
    std::filesystem::path folder;
    host_addresses own_addresses;
    pid_t process = 0; ///< 0: does not run
    std::uint64_t starts = 0;
    bool stop_requested = false; ///< since its start
    std::string exit_text;
};

} // namespace figreach::soak
