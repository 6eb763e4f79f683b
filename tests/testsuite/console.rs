//! The operators' console, tested as a browser without scripts sees it.

use salvo::http::{StatusCode, header};
use salvo::test::{ResponseExt, TestClient};
use salvo::{Response, Service};

use crate::operators::{OPERATOR_KEY, OperatorNode};
use crate::promise_config::cluster::text;

const ORIGIN: &str = "http://127.0.0.1";

/// A browser that stores its session cookie.
struct Browser<'a> {
    service: &'a Service,
    cookie: String,
}

#[derive(Debug)]
struct PageResponse {
    status: StatusCode,
    location: String,
    html: String,
}

impl PageResponse {
    /// Returns the value of a hidden field.
    fn hidden(&self, name: &str) -> String {
        let start = format!("name=\"{name}\" value=\"");
        let (_, rest) = self.html.split_once(&start).unwrap();
        rest.split('"').next().unwrap().to_owned()
    }

    /// Returns the content of the text area, parsed as by a browser.
    fn text_field(&self) -> String {
        let (_, rest) = self.html.split_once("<textarea").unwrap();
        let (_, rest) = rest.split_once('>').unwrap();
        let text = rest.split("</textarea>").next().unwrap();
        let text = text.strip_prefix('\n').unwrap();
        text.replace("&lt;", "<")
            .replace("&gt;", ">")
            .replace("&quot;", "\"")
            .replace("&amp;", "&")
    }
}

async fn read_page(mut res: Response) -> PageResponse {
    let location = res.headers().get(header::LOCATION);
    PageResponse {
        status: res.status_code.unwrap_or(StatusCode::OK),
        location: location.map_or_else(String::new, |value| value.to_str().unwrap().to_owned()),
        html: res.take_string().await.unwrap_or_default(),
    }
}

impl<'a> Browser<'a> {
    fn new(node: &'a OperatorNode) -> Self {
        Self {
            service: &node.service,
            cookie: String::new(),
        }
    }

    async fn signed_in(node: &'a OperatorNode) -> Self {
        let mut browser = Self::new(node);
        let res = TestClient::post(format!("{ORIGIN}/console/sign-in"))
            .form(&[("key", OPERATOR_KEY), ("csrf", "")])
            .send(browser.service)
            .await;
        let cookie = res
            .headers()
            .get(header::SET_COOKIE)
            .unwrap()
            .to_str()
            .unwrap();
        assert!(
            cookie.contains("HttpOnly") && cookie.contains("SameSite=Strict"),
            "{cookie}"
        );
        browser.cookie = cookie.split(';').next().unwrap().to_owned();
        browser
    }

    async fn get(&self, path: &str) -> PageResponse {
        let req = TestClient::get(format!("{ORIGIN}/console{path}"));
        let res = req
            .add_header("cookie", &self.cookie, true)
            .send(self.service)
            .await;
        assert_headers(&res);
        read_page(res).await
    }

    async fn post(&self, path: &str, fields: &[(&str, &str)]) -> PageResponse {
        self.post_from(ORIGIN, path, fields).await
    }

    async fn post_from(&self, origin: &str, path: &str, fields: &[(&str, &str)]) -> PageResponse {
        let req = TestClient::post(format!("{ORIGIN}/console{path}"))
            .add_header("cookie", &self.cookie, true)
            .add_header("host", "127.0.0.1", true)
            .add_header("origin", origin, true)
            .form(&fields);
        read_page(req.send(self.service).await).await
    }

    async fn csrf(&self) -> String {
        self.get("").await.hidden("csrf")
    }
}

fn assert_headers(res: &Response) {
    let policy = res.headers().get(header::CONTENT_SECURITY_POLICY).unwrap();
    assert!(policy.to_str().unwrap().starts_with("default-src 'none'"));
    assert_eq!(
        res.headers().get(header::CACHE_CONTROL).unwrap(),
        "no-store"
    );
}

/// Asserts that every visible field of a form has a label.
fn assert_labels(html: &str) {
    let ids = html
        .split("<input ")
        .skip(1)
        .chain(html.split("<select ").skip(1));
    for field in ids.filter(|field| !field.starts_with("type=\"hidden\"")) {
        let id = field
            .split("id=\"")
            .nth(1)
            .unwrap()
            .split('"')
            .next()
            .unwrap();
        assert!(html.contains(&format!("<label for=\"{id}\"")), "{id}");
    }
}

#[tokio::test(start_paused = true)]
async fn nothing_is_shown_without_signing_in() {
    let node = OperatorNode::start();
    let browser = Browser::new(&node);
    for path in [
        "",
        "/edit?kind=rank",
        "/document",
        "/history",
        "/fleet",
        "/request?id=r1",
    ] {
        let page = browser.get(path).await;
        assert_eq!(
            (page.status, &*page.location),
            (StatusCode::SEE_OTHER, "/console/sign-in")
        );
    }
    let wrong = browser
        .post("/sign-in", &[("key", "guess"), ("csrf", "")])
        .await;
    assert_eq!(wrong.status, StatusCode::UNAUTHORIZED);
    assert!(!wrong.html.contains("guess"));
    assert_labels(&wrong.html);
}

#[tokio::test(start_paused = true)]
async fn a_form_is_checked_previewed_and_published() {
    let node = OperatorNode::start();
    node.publish(0, &text(2, 1)).await;
    let browser = Browser::signed_in(&node).await;
    let form = browser.get("/edit?kind=customer&name=customer-0").await;
    assert_labels(&form.html);
    let (csrf, base) = (form.hidden("csrf"), form.hidden("base_revision"));
    assert_eq!(base, "1");
    let mut fields = vec![
        ("csrf", &*csrf),
        ("kind", "customer"),
        ("name", "customer-0"),
        ("new", "no"),
        ("base_revision", &*base),
        ("keys", ""),
        ("weight", "heavy"),
        ("tokens_per_second", "2000"),
        ("burst_tokens", "20000"),
        ("max_in_flight", "64"),
        ("ranks", "only"),
    ];
    let wrong = browser.post("/edit", &fields).await;
    assert_eq!(wrong.status, StatusCode::UNPROCESSABLE_ENTITY);
    assert!(
        wrong
            .html
            .contains("id=\"weight\" name=\"weight\" value=\"heavy\" aria-invalid=\"true\"")
    );
    assert!(
        wrong.html.contains("is not a whole number in range"),
        "{}",
        wrong.html
    );
    assert_eq!(node.cluster.in_force(), [1]);
    fields[6].1 = "7";
    let preview = browser.post("/edit", &fields).await;
    assert!(preview.html.contains("+weight = 7"), "{}", preview.html);
    assert_eq!(node.cluster.in_force(), [1]);
    let text = preview.text_field().replace('\n', "\r\n");
    let publish = [
        ("csrf", &*csrf),
        ("base_revision", &*base),
        ("text", &*text),
        ("author", "hana"),
    ];
    let published = browser.post("/publish", &publish).await;
    assert_eq!(&*published.location, "/console/history");
    assert_eq!(node.cluster.in_force(), [2]);
    let document = &node.cluster.nodes[0].blackboard.config.read().document;
    assert_eq!(document.customer("customer-0").unwrap().weight, 7);
    let history = browser.get("/history").await;
    assert!(history.html.contains("hana (key "), "{}", history.html);
    let diff = browser.get("/diff?from=1&to=2").await;
    assert!(diff.html.contains("-weight = 1"), "{}", diff.html);
    // Publishing the same preview again conflicts, because its base revision is outdated.
    let late = browser.post("/publish", &publish).await;
    assert_eq!(late.status, StatusCode::CONFLICT);
}

#[tokio::test(start_paused = true)]
async fn sections_are_added_and_deleted_and_duplicate_names_are_rejected() {
    let node = OperatorNode::start();
    node.publish(0, &text(2, 1)).await;
    let browser = Browser::signed_in(&node).await;
    let csrf = browser.csrf().await;
    let mut fields = vec![
        ("csrf", &*csrf),
        ("kind", "service"),
        ("base_revision", "1"),
        ("new", "yes"),
        ("name", "kiln"),
        ("idempotent", "no"),
        ("rank", "only\n[balloon]"),
    ];
    let injected = browser.post("/edit", &fields).await;
    assert_eq!(injected.status, StatusCode::UNPROCESSABLE_ENTITY);
    fields[6].1 = "only";
    let preview = browser.post("/edit", &fields).await;
    assert!(preview.html.contains("+[service kiln]"), "{}", preview.html);
    let taken = [
        ("csrf", &*csrf),
        ("kind", "rank"),
        ("base_revision", "1"),
        ("new", "yes"),
        ("name", "only"),
    ];
    let taken = browser.post("/edit", &taken).await;
    assert!(taken.html.contains("the name is taken"), "{}", taken.html);
    let mut delete = [
        ("csrf", &*csrf),
        ("kind", "customer"),
        ("base_revision", "1"),
        ("name", "customer-1"),
        ("action", "delete"),
    ];
    let preview = browser.post("/edit", &delete).await;
    assert!(
        preview.html.contains("-[customer customer-1]"),
        "{}",
        preview.html
    );
    delete[1].1 = "rank";
    delete[3].1 = "only";
    let refused = browser.post("/edit", &delete).await;
    assert!(
        refused.html.contains("there is no rank only"),
        "{}",
        refused.html
    );
}

#[tokio::test(start_paused = true)]
async fn forms_without_a_valid_origin_or_csrf_token_are_rejected() {
    let node = OperatorNode::start();
    node.publish(0, &text(2, 1)).await;
    let browser = Browser::signed_in(&node).await;
    let csrf = browser.csrf().await;
    let next = text(2, 5);
    let fields = |csrf| [("csrf", csrf), ("base_revision", "1"), ("text", &*next)];
    for (origin, token) in [
        (ORIGIN, ""),
        (ORIGIN, "guess"),
        ("http://evil.example", &*csrf),
    ] {
        let refused = browser.post_from(origin, "/publish", &fields(token)).await;
        assert_eq!(refused.status, StatusCode::FORBIDDEN, "{origin} {token}");
    }
    assert_eq!(node.cluster.in_force(), [1]);
    let with_file = TestClient::post(format!("{ORIGIN}/console/publish"))
        .add_header("cookie", &browser.cookie, true)
        .add_header("content-type", "multipart/form-data; boundary=x", true)
        .body("--x--")
        .send(browser.service)
        .await;
    assert_eq!(with_file.status_code, Some(StatusCode::BAD_REQUEST));
    assert_eq!(
        browser.post("/sign-out", &[("csrf", &*csrf)]).await.status,
        StatusCode::SEE_OTHER
    );
    assert_eq!(browser.get("/fleet").await.location, "/console/sign-in");
}

#[tokio::test(start_paused = true)]
async fn a_session_ends_after_an_idle_time() {
    let node = OperatorNode::start();
    let browser = Browser::signed_in(&node).await;
    assert_eq!(browser.get("/fleet").await.status, StatusCode::OK);
    tokio::time::advance(std::time::Duration::from_secs(2 * 60 * 60)).await;
    assert_eq!(browser.get("/fleet").await.location, "/console/sign-in");
}

#[tokio::test(start_paused = true)]
async fn the_whole_text_the_fleet_and_a_request_are_shown_and_escaped() {
    let node = OperatorNode::start();
    let browser = Browser::signed_in(&node).await;
    let csrf = browser.csrf().await;
    let evil = "<script>alert(1)</script>";
    let page = browser
        .post(
            "/document",
            &[("csrf", &*csrf), ("base_revision", "0"), ("text", evil)],
        )
        .await;
    assert_eq!(page.status, StatusCode::UNPROCESSABLE_ENTITY);
    assert!(!page.html.contains("<script"), "{}", page.html);
    assert_eq!(page.text_field(), evil);
    let first = text(1, 1);
    let fields = [("csrf", &*csrf), ("base_revision", "0"), ("text", &*first)];
    let preview = browser.post("/document", &fields).await;
    assert_eq!(preview.text_field(), first);
    let explained = browser.get("/request?id=r1").await;
    assert!(
        explained
            .html
            .contains("its &lt;deadline&gt; cannot be met"),
        "{}",
        explained.html
    );
    let unknown = browser.get("/request?id=%3Cb%3E").await;
    assert_eq!(unknown.status, StatusCode::NOT_FOUND);
    assert!(!unknown.html.contains("<b>"));
    let fleet = browser.get("/fleet").await;
    assert!(fleet.html.contains("Queues of this node"));
}
