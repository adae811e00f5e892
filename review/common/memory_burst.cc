// Many users come at once, with bodies as long as the desired state allows. The
// platform kills a process that exceeds its memory, and starts it again.
#include "lab.hh"

using namespace lab;

namespace
{

constexpr int hosts_count = 2;
constexpr int workers_count = 4;
constexpr int slots = 128;
constexpr int events = 48;
constexpr int first_event_ms = 1'500;
constexpr int gap_ms = 300;
constexpr int time_limit_ms = 17'000;
constexpr std::size_t body_bytes = 4'194'304;
constexpr std::int64_t memory_limit_kb = 260 * 1024;
constexpr double base_per_s = 2.0;
constexpr double burst_x = 2.0;
constexpr double calm_s = 18;
constexpr double burst_s = 36;
constexpr int allowed_lost = 3;

std::mutex runs_lock;
std::set<string> runs;

bool serve(const string& id, channel& to, const message& request)
{
    if (request.target() == "/v1/report")
    {
        return to.send(answer_text("200 OK", "{\"seq\":0,\"models\":[]}",
                                   "Content-Type: application/json\r\n"));
    }
    if (!is_for(id, request))
    {
        return to.send(misdirected(request));
    }
    const string fields = worker_fields(id, request);
    if (request.method() == "GET")
    {
        return to.send(answer_text("200 OK", "fine", fields));
    }
    {
        const std::lock_guard guard(runs_lock);
        runs.insert(request.field("request-id"));
    }
    // A generation's answer begins with its first event.
    sleep_ms(first_event_ms);
    string text = "HTTP/1.1 200 OK\r\n" + fields +
                  "Content-Type: text/event-stream\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n";
    for (int n = 1; n <= events; ++n)
    {
        char event[64];
        std::snprintf(event, sizeof event, "id: %02d\ndata: piece\n\n", n);
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", string(event).size());
        text += string(size) + event + "\r\n";
        if (!to.send(text))
        {
            return false;
        }
        text.clear();
        sleep_ms(gap_ms);
    }
    return to.send("0\r\n\r\n");
}

struct totals
{
    std::atomic<int> sent{0};
    std::atomic<int> whole{0};
    std::atomic<int> refused{0};
    std::atomic<int> cut{0};
    std::atomic<int> not_taken{0};
    /// Passed on to a worker, and the kept channel was closed without an
    /// answer.
    std::array<std::atomic<int>, hosts_count> lost{};
    std::array<std::atomic<int>, hosts_count> ends{};
};

void request_once(const address& to, std::size_t host, const string& id,
                  const string& body, totals& sums)
{
    channel it(to);
    message answer;
    if (!it.is_open() ||
        !it.send(request_text("GET", "/look/1", id + "-look", 2'500)) ||
        !read_head(it, answer, 2'500) || !read_body(it, answer, 2'500) ||
        answer.status() != 200)
    {
        ++sums.not_taken;
        return;
    }
    ++sums.sent;
    const string head =
        request_text("POST", "/digest/1", id, time_limit_ms,
                     "Content-Length: " + std::to_string(body.size()) + "\r\n");
    const bool is_sent = it.send(head) && it.send(body);
    const bool has_head = is_sent && read_head(it, answer, time_limit_ms);
    if (!has_head)
    {
        sleep_ms(50);
        const std::lock_guard guard(runs_lock);
        const bool has_run = runs.contains(id);
        const bool is_lost = has_run && !it.has_timed_out();
        if (is_lost)
        {
            ++sums.lost[host];
        }
        record(id + " at front-" + std::to_string(host + 1) + ": no answer, " +
               (has_run ? "has run" : "has not run") +
               (it.has_timed_out() ? ", time limit" : ", channel closed"));
        return;
    }
    if (answer.status() != 200)
    {
        ++sums.refused;
        return;
    }
    (read_body(it, answer, time_limit_ms) ? sums.whole : sums.cut)++;
}

bool run(const string& folder)
{
    // Its threads go on until the process ends.
    store& platform = *new store;
    std::vector<std::unique_ptr<server>> workers;
    for (int n = 0; n < workers_count; ++n)
    {
        const string id = "i-" + std::to_string(n + 1);
        workers.push_back(std::make_unique<server>(
            address{"127.0.0.1", 0}, [id](channel& to, const message& it)
            { return serve(id, to, it); }));
        platform.put("servers", id,
                     worker_entry("tally-models", workers.back()->at(), slots));
    }
    platform.put(
        "config", "main",
        desired_state({route("digest", "stream", "tally-models", time_limit_ms),
                       route("look", "safe", "tally-models", 2'500)},
                      {"tally-models"}, 0));
    hosts fleet(hosts_count, platform, folder);
    record("entry hosts are ready");
    totals sums;
    const string body(body_bytes, 'x');
    std::atomic<bool> is_over{false};
    std::vector<std::thread> threads;
    std::array<std::atomic<std::int64_t>, hosts_count> peak{};
    for (std::size_t n = 0; n < hosts_count; ++n)
    {
        threads.emplace_back(
            [&, n]
            {
                while (!is_over)
                {
                    sleep_ms(50);
                    const std::int64_t kb = fleet.program(n).memory_kb();
                    peak[n] = std::max(peak[n].load(), kb);
                    if (kb <= memory_limit_kb)
                    {
                        continue;
                    }
                    record("front-" + std::to_string(n + 1) + " holds " +
                           std::to_string(kb) + " kB: killed");
                    ++sums.ends[n];
                    fleet.program(n).end(SIGKILL);
                    sleep_ms(500);
                    fleet.start(n);
                }
            });
    }
    const double began = seconds_now();
    std::vector<std::thread> requesters;
    bool was_in_burst = false;
    for (int k = 0; seconds_now() < began + calm_s + burst_s; ++k)
    {
        const bool is_in_burst =
            has_trouble() && seconds_now() >= began + calm_s;
        if (is_in_burst && !was_in_burst)
        {
            record("burst begins");
        }
        was_in_burst = is_in_burst;
        for (std::size_t n = 0; n < hosts_count; ++n)
        {
            const string id =
                "r" + std::to_string(k) + "-" + std::to_string(n + 1);
            requesters.emplace_back(
                [&, n, id]
                { request_once(fleet.front(n), n, id, body, sums); });
        }
        const double per_s = base_per_s * (is_in_burst ? burst_x : 1);
        sleep_ms(static_cast<std::int64_t>(1'000 / per_s));
    }
    record("traffic ends");
    for (std::thread& it : requesters)
    {
        it.join();
    }
    is_over = true;
    for (std::thread& it : threads)
    {
        it.join();
    }
    record("sent " + std::to_string(sums.sent) + ", whole " +
           std::to_string(sums.whole) + ", refused " +
           std::to_string(sums.refused) + ", cut in the answer " +
           std::to_string(sums.cut) + ", channels not taken " +
           std::to_string(sums.not_taken));
    bool is_broken = false;
    for (std::size_t n = 0; n < hosts_count; ++n)
    {
        record("front-" + std::to_string(n + 1) + ": peak " +
               std::to_string(peak[n]) + " kB, killed for its memory " +
               std::to_string(sums.ends[n]) +
               " times, requests passed on and not answered " +
               std::to_string(sums.lost[n]));
        is_broken = is_broken || sums.lost[n] > allowed_lost;
    }
    return is_broken;
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, run);
}
