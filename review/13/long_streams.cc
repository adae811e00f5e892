// Workers crash one after the other while streams run that take longer than the
// time between two crashes.
//
// long_streams RECORD: exits with 1 if more of the streams than the rule allows
// are ended with a 4xx of the system's own.

#include "harness.hpp"
#include "store.hpp"

#include <atomic>

namespace
{

using namespace review;

constexpr std::size_t host_count = 3;
constexpr std::size_t worker_count = 4;
constexpr int restart_ms = 2'000;
constexpr int crash_gap_ms = 4'000;
constexpr int crash_count = 2;
constexpr int streams_per_host = 40;
constexpr int parts = 3;
/// Between an answer and the next request.
constexpr int pause_ms = 2'000;
constexpr int length_ms = 45'000;

constexpr const char* configuration = R"({"version":1,
 "routes":[
  {"name":"chat","host":"desk.example","pathPrefix":"/chat/","kind":"stream",
   "service":"models","timeoutMs":17000,"targetLatencyMs":2500,
   "targetGapMs":400,"priority":0,"maxAttempts":1,"sessionAffinity":true,
   "resumable":false}],
 "services":[{"name":"models","maxConns":630,"healthPath":"/health",
  "engine":{"slots":128,"kvCapacity":400000,"weightsSize":200000,
   "adapterSlots":8,"loadsPerS":10,
   "models":[{"name":"m1","weightsSize":40000,"loadS":0.6,"warmS":0.1,
    "diskS":0.2,"adapters":0,"adapterMb":10}]}}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":65536,"headerTimeoutMs":2000,
  "idleTimeoutMs":10000},
 "tenants":[{"name":"office","apiKeys":["key-of-office"],"ratePerS":0,
  "burst":0}]})";

struct worker_slot
{
    address at;
    std::unique_ptr<child> program;
    int starts = 0;
    std::int64_t ended_at = 0;
};

/// A prompt that shares its first part with all others.
std::string prompt_of(int session, int parts)
{
    std::string text = "00000001:16";
    for (int n = 1; n < parts; ++n)
    {
        char part[32];
        std::snprintf(part, sizeof part, ",%04x%04x:16", session & 0xffff, n);
        text += part;
    }
    return text;
}

} // namespace

int main(int argc, char** argv)
{
    const std::string record_path = argc > 1 ? argv[1] : "record.txt";
    const char* trouble = std::getenv("TROUBLE");
    const bool has_trouble = trouble == nullptr || std::string(trouble) != "0";
    ::signal(SIGPIPE, SIG_IGN);
    ::unlink(record_path.c_str());
    const record_file record(record_path);
    const temporary_folder folder;
    // Its threads go on until the process ends.
    store_server& store = *new store_server;
    store.put("config", "main", configuration);
    fleet hosts(folder.path(), host_count, store.at);

    std::vector<worker_slot> workers(worker_count);
    const auto start_worker = [&](std::size_t n)
    {
        worker_slot& it = workers[n];
        const std::string id =
            "i-" + std::to_string(n + 1) + "-" + std::to_string(++it.starts);
        it.ended_at = 0;
        record.line("start worker=" + id);
        std::vector<std::string> command{"target/review-3/worker",
                                         it.at.text(),
                                         store.at.text(),
                                         id,
                                         "models",
                                         record_path};
        if (it.starts == 1)
        {
            command.push_back("m1");
        }
        it.program = std::make_unique<child>(
            command, std::map<std::string, std::string>{},
            folder.path() + "/worker.log");
    };
    for (std::size_t n = 0; n < workers.size(); ++n)
    {
        workers[n].at = free_address("127.0.4." + std::to_string(n + 2));
        start_worker(n);
    }
    hosts.start_all();
    if (!hosts.are_all_ready(15'000))
    {
        std::cerr << "the hosts are not ready\n";
        hosts.print_logs();
        return could_not_run;
    }
    sleep_ms(2'000);

    std::atomic<int> next_id{0};
    std::atomic<int> asked{0};
    std::atomic<int> denied{0};
    const auto send = [&](std::size_t host, const std::string& path,
                          const std::string& prompt, const std::string& body)
    {
        const std::string id = "r" + std::to_string(++next_id);
        const message it = call(hosts.hosts[host].front, "POST", path,
                                {{"Host", "desk.example"},
                                 {"Request-Id", id},
                                 {"Deadline-Ms", "17000"},
                                 {"Model", "m1"},
                                 {"Token-Count", "2560,80"},
                                 {"Prompt-Prefix", prompt},
                                 {"Authorization", "Bearer key-of-office"}},
                                body, 17'000);
        ++asked;
        const int status = it.status();
        // Those of a worker bear its seal.
        denied += status >= 300 && status < 500 && status != 408 &&
                          status != 421 && status != 429 &&
                          it["response-seal"].empty()
                      ? 1
                      : 0;
        record.line("answer host=" + hosts.hosts[host].name + " request=" + id +
                    " status=" + std::to_string(it.status()) +
                    (it.is_complete ? "" : " incomplete"));
        return it.status() == 200 && it.is_complete;
    };
    const std::int64_t end = now_ms() + length_ms;
    std::atomic<int> served{0};
    std::atomic<bool> is_over{false};
    std::vector<std::thread> requesters;
    for (std::size_t n = 0; n < host_count * streams_per_host; ++n)
    {
        requesters.emplace_back(
            [&, n]
            {
                sleep_ms(static_cast<std::int64_t>(n) * 10);
                int turn = 0;
                while (now_ms() < end)
                {
                    const int session = static_cast<int>(n) * 64 + ++turn;
                    served += send(n % host_count, "/chat/x/work-10000",
                                   prompt_of(session, parts),
                                   "prompt " + std::to_string(session))
                                  ? 1
                                  : 0;
                    sleep_ms(pause_ms);
                }
            });
    }
    std::thread keeper(
        [&]
        {
            while (!is_over)
            {
                for (std::size_t n = 0; n < workers.size(); ++n)
                {
                    worker_slot& it = workers[n];
                    if (it.ended_at == 0 && it.program->has_ended())
                    {
                        it.ended_at = now_ms();
                    }
                    if (it.ended_at > 0 && now_ms() >= it.ended_at + restart_ms)
                    {
                        start_worker(n);
                    }
                }
                sleep_ms(20);
            }
        });
    sleep_ms(6'000);
    std::int64_t next = now_ms();
    for (int n = 0; has_trouble && n < crash_count; ++n)
    {
        const std::size_t turn = static_cast<std::size_t>(n) % worker_count;
        record.line("kill worker=i-" + std::to_string(turn + 1));
        workers[turn].program->signal(SIGKILL);
        next += crash_gap_ms;
        sleep_ms(next - now_ms());
    }
    for (std::thread& it : requesters)
    {
        it.join();
    }
    is_over = true;
    keeper.join();

    const double allowed = 5 + asked / 500.0;
    std::ostringstream result;
    result << "streams=" << asked << " served=" << served
           << " denied=" << denied << " allowed=" << allowed;
    record.line(result.str());
    std::cout << result.str() << "\n";
    if (!has_trouble && served == 0)
    {
        return could_not_run;
    }
    return denied > allowed ? rule_broken : rule_held;
}
