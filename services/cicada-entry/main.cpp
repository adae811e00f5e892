#include "core/structured_log.hpp"
#include "documents.hpp"
#include "entry/entry_daemon.hpp"
#include "object_store_dialect.hpp"
#include "requests.hpp"
#include "servers.hpp"
#include "settings/program.hpp"
#include "settings_file.hpp"

#include <tclap/CmdLine.h>

#include <csignal>

#include <malloc.h>

namespace
{

using namespace cicadahub;

/// Blocks of this size, such as bodies, go back to the system when they are
/// freed.
constexpr int mapped_block_bytes = 128 * 1024;

int serve(const std::string& file)
{
    const adapter::settings_file given = adapter::read_settings_file(file);
    if (!given.faults.empty())
    {
        return settings::report_faults(given.faults);
    }
    // A write to a connection that the peer has closed must return an error
    // instead of ending the process.
    std::signal(SIGPIPE, SIG_IGN);
    // By default the threshold grows with each large block that is freed, and
    // later ones stay resident in the heap.
    mallopt(M_MMAP_THRESHOLD, mapped_block_bytes);
    open_structured_log(given.settings.name.value());
    entry::entry_daemon daemon(
        given.settings,
        {adapter::object_store_dialect, adapter::documents, adapter::requests,
         adapter::servers},
        [file]() -> std::optional<entry::entry_settings>
        {
            const adapter::settings_file next =
                adapter::read_settings_file(file);
            settings::report_faults(next.faults);
            return next.faults.empty() ? std::optional(next.settings)
                                       : std::nullopt;
        });
    daemon.run();
    close_structured_log();
    return settings::exit_ok;
}

int run(int argc, char** argv)
{
    TCLAP::CmdLine line("cicada-entry, the entry daemon of cicadahub on the "
                        "users' platform.",
                        ' ', CICADAHUB_VERSION);
    line.setExceptionHandling(false);
    TCLAP::ValueArg<std::string> settings_file(
        "s", "settings",
        std::string("Settings to serve with; ") + adapter::settings_variable +
            " if unset.",
        false, adapter::settings_path_from_environment(), "FILE");
    TCLAP::ValueArg<std::string> checked_file(
        "c", "check-settings", "Settings to check, without serving.", false, "",
        "FILE");
    line.add(settings_file);
    line.add(checked_file);
    line.parse(argc, argv);
    if (checked_file.isSet())
    {
        return settings::report_faults(
            adapter::read_settings_file(checked_file.getValue()).faults);
    }
    return serve(settings_file.getValue());
}

} // namespace

int main(int argc, char** argv)
{
    return cicadahub::settings::run_program("cicada-entry",
                                            [&] { return run(argc, argv); });
}
