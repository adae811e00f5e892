// A worker of a service: registers in the store, answers reports and orders,
// and runs requests. A request whose body begins with "crash" ends the process
// once it has begun to run. A path with "work-N" asks for N ms of work.
//
// worker LISTEN STORE ID SERVICE RECORD [MODEL...]

#include "harness.hpp"

#include <atomic>
#include <set>

namespace
{

using namespace review;

constexpr int heartbeat_ms = 1200;
constexpr int usual_work_ms = 30;
constexpr int event_gap_ms = 250;
constexpr int idle_ms = 20'000;

struct worker
{
    address listen;
    address store;
    std::string id;
    std::string service;
    record_file record;
    std::int64_t born = now_ms();
    std::mutex mutex;
    std::set<std::string> models;
    int orders = 0;
    bool is_busy = false;
    std::atomic<int> running{0};

    worker(const address& at, const address& store_at, std::string name,
           std::string of, const std::string& record_path)
        : listen(at), store(store_at), id(std::move(name)),
          service(std::move(of)), record(record_path)
    {
    }

    bool holds(const std::string& model)
    {
        const std::lock_guard lock(mutex);
        return models.contains(model);
    }

    std::string models_json()
    {
        std::string text;
        for (const std::string& it : models)
        {
            text += std::string(text.empty() ? "" : ",") + R"({"name":")" + it +
                    R"(","version":1,"adapters":[]})";
        }
        return "[" + text + "]";
    }
};

void register_entry(worker& self)
{
    for (int seq = 1;; ++seq)
    {
        std::string models;
        {
            const std::lock_guard lock(self.mutex);
            models = self.models_json();
        }
        const std::string spec =
            R"({"service":")" + self.service + R"(","address":")" +
            self.listen.text() + R"(","zone":"zone-a","version":"v1",)" +
            R"("slots":128,"state":"ready","coldLeftMs":0,"born":)" +
            std::to_string(self.born) + R"(,"seq":)" + std::to_string(seq) +
            (models == "[]"
                 ? std::string()
                 : R"(,"models":)" + models +
                       R"(,"available":{"inMemory":[],"onDisk":[]})") +
            "}";
        const std::string body =
            R"({"metadata":{"name":")" + self.id + R"("},"spec":)" + spec + "}";
        if (call(self.store, "PUT", "/v1/objects/servers/" + self.id, {}, body)
                .status() != 200)
        {
            call(self.store, "POST", "/v1/objects/servers", {}, body);
        }
        sleep_ms(heartbeat_ms);
    }
}

std::string answer(int status, const std::string& more, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " x\r\n" + more +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string member(const std::string& json, const std::string& name)
{
    const auto at = json.find("\"" + name + "\":");
    if (at == std::string::npos)
    {
        return {};
    }
    std::string rest = json.substr(at + name.size() + 3);
    rest.erase(0, rest.find_first_not_of(" \""));
    return rest.substr(0, rest.find_first_of(",}\""));
}

std::string on_order(worker& self, const std::string& body)
{
    const std::lock_guard lock(self.mutex);
    const std::string expected = member(body, "expected");
    const std::string model = member(body, "model");
    const bool is_load = member(body, "opType") == "load";
    const bool is_conflict =
        self.is_busy ||
        (!expected.empty() && std::atoi(expected.c_str()) != self.orders);
    const int status =
        is_conflict ? 409
                    : (self.models.contains(model) == is_load ? 200 : 202);
    self.record.line(
        "order worker=" + self.id + " holder=" + member(body, "holder") +
        " fence=" + member(body, "fence") + " op=" + member(body, "opType") +
        " model=" + model + " expected=" + expected +
        " status=" + std::to_string(status));
    if (status == 202)
    {
        ++self.orders;
        self.is_busy = true;
        std::thread(
            [&self, model, is_load]
            {
                sleep_ms(is_load ? 600 : 20);
                const std::lock_guard done(self.mutex);
                is_load ? void(self.models.insert(model))
                        : void(self.models.erase(model));
                self.is_busy = false;
            })
            .detach();
    }
    return answer(status, {}, "{}");
}

void crash_if_asked(worker& self, const std::string& id,
                    const std::string& body)
{
    if (body.starts_with("crash"))
    {
        self.record.line("crash worker=" + self.id + " request=" + id);
        ::_exit(1);
    }
}

/// Sends events until the work is done.
void stream(worker& self, int fd, const std::string& id,
            const std::string& sealed, const std::string& body, int first,
            int work_ms)
{
    bool is_open = send_all(fd, "HTTP/1.1 200 x\r\n" + sealed +
                                    "Content-Type: text/event-stream\r\n"
                                    "Transfer-Encoding: chunked\r\n\r\n");
    for (int n = first; is_open && n <= std::max(1, work_ms / event_gap_ms);
         ++n)
    {
        sleep_ms(event_gap_ms);
        if (n > 1)
        {
            crash_if_asked(self, id, body);
        }
        const std::string event =
            "id: " + std::to_string(n) + "\ndata: piece\n\n";
        std::ostringstream size;
        size << std::hex << event.size();
        is_open = send_all(fd, size.str() + "\r\n" + event + "\r\n");
    }
    if (is_open)
    {
        send_all(fd, "0\r\n\r\n");
    }
}

std::string on_request(worker& self, int fd, const message& it)
{
    const std::string id = it["request-id"];
    const std::string path = it.first_line.substr(it.first_line.find(' ') + 1);
    if (path.starts_with("/v1/report"))
    {
        const std::lock_guard lock(self.mutex);
        return answer(200, "Content-Type: application/json\r\n",
                      R"({"stage":"both","models":)" + self.models_json() +
                          R"(,"busy":)" + (self.is_busy ? "true" : "false") +
                          R"(,"seq":)" + std::to_string(self.orders) +
                          R"(,"numWaiting":0,"numRunning":)" +
                          std::to_string(self.running) +
                          R"(,"kvUsed":0,"kvTotal":100000,"handles":0})");
    }
    if (path.starts_with("/v1/order"))
    {
        return on_order(self, it.body);
    }
    const std::string named = "Request-Id: " + id + "\r\n";
    const std::string expected = it["expect-instance"];
    if (!expected.empty() && expected != self.id)
    {
        return answer(
            421, named + "Not-Run: 1\r\nInstance-Id: " + self.id + "\r\n", {});
    }
    const std::string model = it["model"];
    if (!model.empty() && !self.holds(model))
    {
        return answer(
            421, named + "Not-Run: 1\r\nInstance-Id: " + self.id + "\r\n", {});
    }
    self.record.line("run worker=" + self.id + " request=" + id +
                     " body=" + it.body.substr(0, 40));
    const auto work = path.find("work-");
    const int work_ms = work == std::string::npos
                            ? usual_work_ms
                            : std::atoi(path.c_str() + work + 5);
    ++self.running;
    const std::string sealed =
        named + "Response-Seal: seal-" + self.id + "\r\n";
    if (!model.empty())
    {
        stream(self, fd, id, sealed, it.body,
               std::atoi(it["last-event-id"].c_str()) + 1, work_ms);
        --self.running;
        return {};
    }
    sleep_ms(work_ms);
    crash_if_asked(self, id, it.body);
    --self.running;
    return answer(200, sealed, "done by " + self.id);
}

void serve(worker& self, int fd)
{
    reader from(fd);
    while (const auto it = from.read(now_ms() + idle_ms))
    {
        if (!it->is_complete || !send_all(fd, on_request(self, fd, *it)))
        {
            break;
        }
    }
    ::close(fd);
}

} // namespace

int main(int argc, char** argv)
{
    if (argc < 6)
    {
        return could_not_run;
    }
    ::signal(SIGPIPE, SIG_IGN);
    worker self(parse_address(argv[1]), parse_address(argv[2]), argv[3],
                argv[4], argv[5]);
    self.models.insert(argv + 6, argv + argc);
    const int fd = listen_on(self.listen);
    if (fd < 0)
    {
        return could_not_run;
    }
    std::thread(register_entry, std::ref(self)).detach();
    while (true)
    {
        const int accepted = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted >= 0)
        {
            const int on = 1;
            ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread(serve, std::ref(self), accepted).detach();
        }
    }
}
